//! Receipts that were altered, or that belong to another team or program, are refused.

use std::sync::Arc;

use crate::{
    ProgramId, ReceiptSealer, ShardId, TokenUsage, TurnReceipt, TurnRecord,
    state::turn_receipt::ReceiptError,
};

fn receipt() -> TurnReceipt {
    TurnReceipt {
        team: "tuul".into(),
        program: ProgramId { shard: ShardId(1), serial: 2 },
        number: 3,
        turn: TurnRecord {
            fingerprint: 4,
            messages: vec!["{}".into()],
            answer: "{}".into(),
            finish_reason: "stop".into(),
            usage: TokenUsage { prompt: 5, cached: 0, completion: 6 },
            at_ms: 7,
        },
    }
}

#[test]
fn open_each_case() {
    let sealer = ReceiptSealer::new(&Arc::from("key"));
    let receipt = receipt();
    let text = sealer.seal(&receipt);
    let program = receipt.program;
    let other_program = ProgramId { serial: 9, ..program };

    assert_eq!(sealer.open(&text, &"tuul".into(), program), Ok(receipt));
    assert_eq!(sealer.open(&text, &"ebro".into(), program), Err(ReceiptError::TeamMismatch));
    assert_eq!(
        sealer.open(&text, &"tuul".into(), other_program),
        Err(ReceiptError::ProgramMismatch)
    );
    assert_eq!(sealer.open("no receipt", &"tuul".into(), program), Err(ReceiptError::Malformed));

    let foreign_sealer = ReceiptSealer::new(&Arc::from("another key"));
    assert_eq!(
        foreign_sealer.open(&text, &"tuul".into(), program),
        Err(ReceiptError::SealMismatch)
    );

    for index in 0..text.len() - 1 {
        let mut altered: Vec<u8> = text.bytes().collect();
        altered[index] = if altered[index] == b'A' { b'B' } else { b'A' };
        let altered = String::from_utf8(altered).expect("base64 is text");
        assert!(
            sealer.open(&altered, &"tuul".into(), program).is_err(),
            "altered byte {index} was accepted"
        );
    }
}
