//! One `ragwortknotd` process.

use std::{
    fs::{self, File},
    io::{BufRead, BufReader, Write},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::Value;

/// Time in which a process says its addresses, or ends.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(30);

/// A process, its addresses and its log. It is killed when it is dropped.
#[derive(Debug)]
pub(crate) struct HostProcess {
    pub(crate) name: String,
    pub(crate) region: String,
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) log_file: PathBuf,
    child: Child,
}

impl HostProcess {
    /// Starts a host and waits until it says its addresses.
    pub(crate) fn start(
        folder: &Path,
        name: &str,
        region: &str,
        platform_url: &str,
        extra: &str,
    ) -> Self {
        let settings = folder.join(format!("{name}.ini"));
        let text = settings_text(folder, name, region, platform_url, extra);
        fs::write(&settings, text).expect("the settings are written");

        let mut child = Command::new(env!("CARGO_BIN_EXE_ragwortknotd"))
            .arg("-c")
            .arg(&settings)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the daemon starts");

        let log_file = folder.join(format!("{name}.log"));
        let stderr = child.stderr.take().expect("stderr is piped");
        let addresses = Arc::new(Mutex::new(None));
        spawn_reader(stderr, &log_file, Arc::clone(&addresses));
        let fields = wait_for(&addresses, name);

        let address = |field: &str| -> SocketAddr {
            fields[field].as_str().and_then(|it| it.parse().ok()).expect("an address")
        };

        Self {
            name: name.to_owned(),
            region: region.to_owned(),
            callers: address("callers"),
            operators: address("operators"),
            peers: address("peers"),
            log_file,
            child,
        }
    }

    /// Ends the process at once, with no chance to say anything.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal to this process alone.
    pub(crate) fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id().try_into().expect("a process id"));
        kill(pid, signal).expect("the signal is sent");
    }

    /// Waits for the process to end by itself.
    pub(crate) fn wait(&mut self) -> ExitStatus {
        let deadline = Instant::now() + PROCESS_TIMEOUT;

        loop {
            if let Some(status) = self.child.try_wait().expect("the process is ours") {
                return status;
            }

            assert!(Instant::now() < deadline, "host {} does not end", self.name);
            thread::sleep(Duration::from_millis(20));
        }
    }

    pub(crate) fn log(&self) -> String {
        fs::read_to_string(&self.log_file).unwrap_or_default()
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn settings_text(
    folder: &Path,
    name: &str,
    region: &str,
    platform_url: &str,
    extra: &str,
) -> String {
    let operator_hash = fs::read_to_string(folder.join("operator.hash")).expect("a hash");

    format!(
        "[host]\nname = {name}\nregion = {region}\ndata_centre = {region}-1\n\
         [listen]\ncallers = 127.0.0.1:0\noperators = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
         [platform]\nurl = {platform_url}\ncall_rate = 400 /s\n\
         [keys]\ncertificate = {name}.cert.pem\nprivate_key = {name}.key.pem\n\
         authority = authority.cert.pem\noperator_key_hash = {operator_hash}\n\
         receipt_key = receipt.key\n{extra}"
    )
}

/// Copies the log to a file, and keeps the line that says the addresses.
fn spawn_reader(
    stderr: impl std::io::Read + Send + 'static,
    log_file: &Path,
    addresses: Arc<Mutex<Option<Value>>>,
) {
    let mut file = File::options().append(true).create(true).open(log_file).expect("a log file");

    thread::spawn(move || {
        for line in BufReader::new(stderr).lines().map_while(Result::ok) {
            let _ = writeln!(file, "{line}");

            if line.contains("\"listening\"") {
                *addresses.lock().expect("no panic") = serde_json::from_str(&line).ok();
            }
        }
    });
}

fn wait_for(addresses: &Mutex<Option<Value>>, name: &str) -> Value {
    let deadline = Instant::now() + PROCESS_TIMEOUT;

    loop {
        if let Some(fields) = addresses.lock().expect("no panic").take() {
            return fields;
        }

        assert!(Instant::now() < deadline, "host {name} does not say its addresses");
        thread::sleep(Duration::from_millis(5));
    }
}
