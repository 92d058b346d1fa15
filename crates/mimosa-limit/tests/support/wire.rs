//! Messages in transit and their text in transcripts.

use std::fmt;

use mimosa_limit::message::Answer;
use mimosa_limit::message::Holder;
use mimosa_limit::message::Report;

#[derive(Clone, Debug)]
pub enum Message {
    Report(usize, Report),
    Answer(usize, Holder, Answer),
}

impl Message {
    /// Encoded size in bytes. Asserts that decoding returns the same message.
    pub fn size(&self) -> u64 {
        let bytes = match self {
            Self::Report(_, report) => {
                let bytes = postcard::to_stdvec(report).expect("reports encode");
                assert_eq!(postcard::from_bytes(&bytes).as_ref(), Ok(report));
                bytes
            }
            Self::Answer(_, _, answer) => {
                let bytes = postcard::to_stdvec(answer).expect("answers encode");
                assert_eq!(postcard::from_bytes(&bytes).as_ref(), Ok(answer));
                bytes
            }
        };
        bytes.len() as u64
    }
}

impl fmt::Display for Message {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Report(data_centre, report) => {
                let from = match &report.holder {
                    Holder::Entry(id) => id.as_str(),
                    Holder::DataCentre(id) => id.as_str(),
                };
                write!(f, "{from}/{}", report.incarnation)?;
                write!(f, " -> dc-{data_centre}: report {}", report.number)?;
                for account in &report.accounts {
                    write!(
                        f,
                        ", needs {} and {} ahead",
                        account.shortfall, account.prefetch
                    )?;
                    for slice in &account.slices {
                        let closed = if slice.closed { " closed" } else { "" };
                        let spent = slice.spent.tokens();
                        write!(f, ", slice {} spent {spent}{closed}", slice.number)?;
                    }
                }
                report.refunds.iter().try_for_each(|refund| {
                    let owner = &refund.origin.data_centre;
                    write!(f, ", refund {} to {owner}", refund.amount.tokens())
                })
            }
            Self::Answer(data_centre, _, answer) => {
                write!(
                    f,
                    "dc-{data_centre}/{} -> answer {}",
                    answer.epoch, answer.number
                )?;
                for account in &answer.accounts {
                    write!(f, ", retry after {:?}", account.retry_after)?;
                    for grant in &account.slices {
                        let (tokens, owner) = (grant.amount.tokens(), &grant.origin.data_centre);
                        write!(f, ", slice {} of {tokens} from {owner}", grant.number)?;
                    }
                }
                Ok(())
            }
        }
    }
}
