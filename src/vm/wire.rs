//! What the processes of bramleypier say to each other, besides probes.

use serde::{Deserialize, Serialize};

use crate::{grantor, id::GroupId, order};

/// A message from one VM to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// Between the grantors of a group.
    Grantor(GroupId, grantor::Message),
    /// About orders.
    Order(order::Message),
}
