//! Steps of the wall clock by 30 s in both directions while the process runs. See docs/PROOFS.md, "Steps of the wall clock".

use std::sync::Arc;

use rustls::{pki_types::UnixTime, server::WebPkiClientVerifier};
use tokio::time::Duration;

use crate::{
    basics::{
        steady_clock::steady_millis,
        unix_clock::{clock_step::STEP_MS, unix_millis},
    },
    membership::key_files::CertificateAuthority,
};

/// A step there, back again, and beyond.
pub(super) const STEPS_MS: [i64; 4] = [30_000, 0, -30_000, 0];

/// Guards against times of the process that go back or leap with the wall clock.
#[test]
fn steady_millis_ignores_steps() {
    let mut last_ms = steady_millis();
    for step_ms in STEPS_MS {
        STEP_MS.set(step_ms);
        let wall_ms = unix_millis();
        let now_ms = steady_millis();
        assert!((last_ms..last_ms + 5_000).contains(&now_ms), "{last_ms} became {now_ms}");
        assert!(wall_ms.abs_diff(now_ms.saturating_add_signed(step_ms)) < 5_000);
        last_ms = now_ms;
    }
}

/// Guards against hosts that take each other's certificates for expired, or not yet valid.
#[test]
fn certificates_of_hosts_stay_valid_over_steps() {
    let authority = CertificateAuthority::generate().expect("an authority");
    let keys = authority.issue("one").expect("a certificate");
    let chain = keys.certificate_chain().expect("a chain");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let roots = Arc::new(keys.trusted_roots().expect("roots"));
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider).build();
    let verifier = verifier.expect("a verifier");
    for step_ms in [-3_600_000, -30_000, 0, 30_000, 3_600_000] {
        let now_ms = unix_millis().saturating_add_signed(step_ms);
        let now = UnixTime::since_unix_epoch(Duration::from_millis(now_ms));
        let result = verifier.verify_client_cert(&chain[0], &[], now);
        assert!(result.is_ok(), "step {step_ms}: {result:?}");
    }
}
