//! Messages that bramleypier processes send each other in batches; probes and gossip travel separately.

use serde::{Deserialize, Serialize};

use crate::{grantor, id::GroupId, order};

/// A message from one VM to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// A message between the grantors of a group.
    Grantor(GroupId, grantor::Message),
    /// A message about orders.
    Order(order::Message),
}
