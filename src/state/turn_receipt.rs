//! Receipts for turns that could not be logged in time. See docs/design/outages.md.

use std::sync::Arc;

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use derive_more::Display;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::{ProgramId, TeamName, TurnRecord, decode_frame, encode_frame};

/// Length of the seal, an HMAC-SHA256 in front of the encoded receipt.
const SEAL_BYTES: usize = 32;

/// A finished turn, which its caller stores until an owner has logged it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct TurnReceipt {
    pub(crate) team: TeamName,
    pub(crate) program: ProgramId,
    pub(crate) number: u32,
    pub(crate) turn: TurnRecord,
}

/// Reason why a receipt is refused.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, derive_more::Error)]
pub(crate) enum ReceiptError {
    #[display("the receipt is not well formed")]
    Malformed,
    #[display("the receipt's seal does not fit")]
    SealMismatch,
    #[display("the receipt is another team's")]
    TeamMismatch,
    #[display("the receipt is another program's")]
    ProgramMismatch,
}

/// Authenticates receipts with a key that all hosts share, so that callers can't forge or alter them.
#[derive(Clone, derive_more::Debug)]
#[debug("ReceiptSealer")]
pub(crate) struct ReceiptSealer {
    key: Arc<str>,
}

impl ReceiptSealer {
    pub(crate) fn new(key: &Arc<str>) -> Self {
        Self { key: Arc::clone(key) }
    }

    /// Encodes a receipt with its seal, as base64 text.
    pub(crate) fn seal(&self, receipt: &TurnReceipt) -> Arc<str> {
        let encoded = encode_frame(receipt);
        let mut sealed = self.mac(&encoded).finalize().into_bytes().to_vec();
        sealed.extend_from_slice(&encoded);
        URL_SAFE_NO_PAD.encode(sealed).into()
    }

    /// Verifies and decodes a receipt, which has to belong to `team` and `program`.
    pub(crate) fn open(
        &self,
        text: &str,
        team: &TeamName,
        program: ProgramId,
    ) -> Result<TurnReceipt, ReceiptError> {
        let sealed = URL_SAFE_NO_PAD.decode(text).map_err(|_| ReceiptError::Malformed)?;
        let (seal, encoded) = sealed.split_at_checked(SEAL_BYTES).ok_or(ReceiptError::Malformed)?;
        self.mac(encoded).verify_slice(seal).map_err(|_| ReceiptError::SealMismatch)?;
        let receipt: TurnReceipt = decode_frame(encoded).map_err(|_| ReceiptError::Malformed)?;

        if receipt.team != *team {
            return Err(ReceiptError::TeamMismatch);
        }

        if receipt.program != program {
            return Err(ReceiptError::ProgramMismatch);
        }

        Ok(receipt)
    }

    fn mac(&self, encoded: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(self.key.as_bytes())
            .expect("HMAC takes keys of any length");
        mac.update(encoded);
        mac
    }
}
