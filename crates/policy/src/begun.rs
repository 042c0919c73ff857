//! Rights that a server may have, as serde reads and writes them: builds before had them always.

use saffronpaddle_slow_start::SlowStartBudget;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

#[allow(clippy::ref_option)] // The signature that serde asks for.
pub fn serialize<S: Serializer>(
    rights: &Option<Box<SlowStartBudget>>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    match rights {
        Some(rights) => rights.serialize(serializer),
        None => SlowStartBudget::default().serialize(serializer),
    }
}

pub fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<Box<SlowStartBudget>>, D::Error> {
    Ok(Some(Box::new(SlowStartBudget::deserialize(deserializer)?)))
}
