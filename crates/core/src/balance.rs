//! Sharing of the load on targets between the gateways of a region.
//!
//! A target's own figure comes only with its replies, so a gateway that is one of thirty knows the
//! load of a target as it was seconds ago. Each gateway therefore tells the others how many requests
//! it has in flight at each target. [`Ledger`] keeps what the others told, [`Estimate`] corrects its
//! sum by the figures of the target, and [`Variety`] counts the requests for each object, from which
//! follows how many targets may keep it. The load that it responds to is that of many gateways which
//! choose in the same moment, of a few popular objects, and of targets below their capacity.

mod estimate;
mod ledger;
mod preference;
mod report;
mod variety;

pub use estimate::{Estimate, Usual};
pub use ledger::{Ledger, Rejection};
pub use preference::Preference;
pub use report::{Group, MAX_REPORT_BYTES, Report, Rotation, target_key};
pub use variety::{Copies, Variety};
