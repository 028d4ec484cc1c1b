//! The requests against which a crash of an upstream counts.

use crate::entry::request_signature::RequestSignature;

/// Hashes of the requests that ran on an upstream when it ended. Contents and targets are weighed apart: a target that is
/// suspected already explains no crash to a content that is not, as it may serve others.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashSuspects {
    pub(crate) contents: Vec<u64>,
    pub(crate) targets: Vec<u64>,
}

impl From<RequestSignature> for CrashSuspects {
    fn from(signature: RequestSignature) -> Self {
        Self { contents: vec![signature.content], targets: vec![signature.target] }
    }
}

impl CrashSuspects {
    /// Adds the suspects of another attempt on the same upstream.
    pub(crate) fn merge(&mut self, other: Self) {
        for (all, new) in [(&mut self.contents, other.contents), (&mut self.targets, other.targets)]
        {
            for hash in new {
                if !all.contains(&hash) {
                    all.push(hash);
                }
            }
        }
    }

    pub(crate) fn hashes(&self) -> Vec<u64> {
        self.contents.iter().chain(&self.targets).copied().collect()
    }
}
