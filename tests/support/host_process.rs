//! A host of a test cluster, run as a `ragwortknotd` process.

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

/// How long a process may take to log its addresses after its start, or to exit after its signal.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(30);

/// A running host. Dropping it kills the process.
#[derive(Debug)]
pub(crate) struct HostProcess {
    pub(crate) name: String,
    pub(crate) region: String,
    /// Listen address of the callers' API.
    pub(crate) callers: SocketAddr,
    /// Listen address of the operators' API.
    pub(crate) operators: SocketAddr,
    /// Listen address for other hosts, over UDP.
    pub(crate) peers: SocketAddr,
    pub(crate) log_file: PathBuf,
    child: Child,
}

impl HostProcess {
    /// Writes the host's settings, ending with `extra_settings`, starts the host and waits until it has logged its
    /// addresses.
    pub(crate) fn start(
        folder: &Path,
        name: &str,
        region: &str,
        platform_url: &str,
        extra_settings: &str,
    ) -> Self {
        let settings_file = folder.join(format!("{name}.ini"));
        let text = settings_text(folder, name, region, platform_url, extra_settings);
        fs::write(&settings_file, text).expect("the settings file should be writable");

        let mut child = Command::new(env!("CARGO_BIN_EXE_ragwortknotd"))
            .arg("-c")
            .arg(&settings_file)
            .stderr(Stdio::piped())
            .spawn()
            .expect("ragwortknotd should start");

        let log_file = folder.join(format!("{name}.log"));
        let stderr = child.stderr.take().expect("stderr should be piped");
        let addresses = Arc::new(Mutex::new(None));
        spawn_log_reader(stderr, &log_file, Arc::clone(&addresses));
        let fields = wait_for_addresses(&addresses, name);

        let address = |field: &str| -> SocketAddr {
            fields[field]
                .as_str()
                .and_then(|it| it.parse().ok())
                .expect("the log line should hold the address")
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

    /// Kills the process with SIGKILL, so that it can't hand over, flush or log anything.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal to this process alone, not to its group.
    pub(crate) fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id().try_into().expect("the process id should fit"));
        kill(pid, signal).expect("the signal should be sent");
    }

    /// Waits for the process to exit without being killed, and returns its exit status.
    pub(crate) fn wait(&mut self) -> ExitStatus {
        let deadline = Instant::now() + PROCESS_TIMEOUT;

        loop {
            if let Some(status) =
                self.child.try_wait().expect("the status of a child process should be readable")
            {
                return status;
            }

            assert!(
                Instant::now() < deadline,
                "host {} has not exited within {PROCESS_TIMEOUT:?}",
                self.name
            );
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// The log so far, empty if it can't be read.
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
    extra_settings: &str,
) -> String {
    let operator_hash = fs::read_to_string(folder.join("operator.hash"))
        .expect("the hash of the operators' key should be readable");

    format!(
        "[host]\nname = {name}\nregion = {region}\ndata_centre = {region}-1\n\
         [listen]\ncallers = 127.0.0.1:0\noperators = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
         [platform]\nurl = {platform_url}\ncall_rate = 400 /s\n\
         [keys]\ncertificate = {name}.cert.pem\nprivate_key = {name}.key.pem\n\
         authority = authority.cert.pem\noperator_key_hash = {operator_hash}\n\
         receipt_key = receipt.key\n{extra_settings}"
    )
}

/// Starts a thread that copies the log to a file, and stores the fields of the line that states the addresses.
fn spawn_log_reader(
    stderr: impl std::io::Read + Send + 'static,
    log_file: &Path,
    addresses: Arc<Mutex<Option<Value>>>,
) {
    let mut file = File::options()
        .append(true)
        .create(true)
        .open(log_file)
        .expect("the log file should be writable");

    thread::spawn(move || {
        for line in BufReader::new(stderr).lines().map_while(Result::ok) {
            let _ = writeln!(file, "{line}");

            if line.contains("\"listening\"") {
                *addresses.lock().expect("the lock should not be poisoned") =
                    serde_json::from_str(&line).ok();
            }
        }
    });
}

/// Waits until the log reader has stored the addresses.
fn wait_for_addresses(addresses: &Mutex<Option<Value>>, name: &str) -> Value {
    let deadline = Instant::now() + PROCESS_TIMEOUT;

    loop {
        if let Some(fields) = addresses.lock().expect("the lock should not be poisoned").take() {
            return fields;
        }

        assert!(
            Instant::now() < deadline,
            "host {name} has not logged its addresses within {PROCESS_TIMEOUT:?}"
        );
        thread::sleep(Duration::from_millis(5));
    }
}
