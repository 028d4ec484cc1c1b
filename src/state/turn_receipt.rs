//! Receipts for turns that could not be logged. See docs/design/outages.md.

use std::sync::Arc;

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use derive_more::Display;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::{ProgramId, TeamName, TurnRecord, decode_frame, encode_frame};

/// Bytes of the seal that stands before the record.
const SEAL_BYTES: usize = 32;

/// A turn as its caller holds it until it is logged.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct TurnReceipt {
    pub(crate) team: TeamName,
    pub(crate) program: ProgramId,
    pub(crate) number: u32,
    pub(crate) turn: TurnRecord,
}

/// Why a receipt is refused.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, derive_more::Error)]
pub(crate) enum ReceiptError {
    #[display("the receipt is not well formed")]
    Malformed,
    #[display("the receipt's seal does not fit")]
    Seal,
    #[display("the receipt is another team's")]
    Team,
    #[display("the receipt is another program's")]
    Program,
}

/// Seals and opens receipts with the key that all hosts share.
#[derive(Clone, derive_more::Debug)]
#[debug("ReceiptSealer")]
pub(crate) struct ReceiptSealer {
    key: Arc<str>,
}

impl ReceiptSealer {
    pub(crate) fn new(key: &Arc<str>) -> Self {
        Self { key: Arc::clone(key) }
    }

    pub(crate) fn seal(&self, receipt: &TurnReceipt) -> Arc<str> {
        let record = encode_frame(receipt);
        let mut sealed = self.mac(&record).finalize().into_bytes().to_vec();
        sealed.extend_from_slice(&record);
        URL_SAFE_NO_PAD.encode(sealed).into()
    }

    /// Opens a receipt that has to be this team's and this program's.
    pub(crate) fn open(
        &self,
        text: &str,
        team: &TeamName,
        program: ProgramId,
    ) -> Result<TurnReceipt, ReceiptError> {
        let sealed = URL_SAFE_NO_PAD.decode(text).map_err(|_| ReceiptError::Malformed)?;
        let (seal, record) = sealed.split_at_checked(SEAL_BYTES).ok_or(ReceiptError::Malformed)?;
        self.mac(record).verify_slice(seal).map_err(|_| ReceiptError::Seal)?;
        let receipt: TurnReceipt = decode_frame(record).map_err(|_| ReceiptError::Malformed)?;

        if receipt.team != *team {
            return Err(ReceiptError::Team);
        }

        if receipt.program != program {
            return Err(ReceiptError::Program);
        }

        Ok(receipt)
    }

    fn mac(&self, record: &[u8]) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(self.key.as_bytes()).expect("any key length is taken");
        mac.update(record);
        mac
    }
}
