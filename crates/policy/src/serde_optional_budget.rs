//! Serializes an optional slow-start budget as one that always exists: earlier builds expect it.

use saffronpaddle_slow_start::SlowStartBudget;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Serializes, as serde's `with` attribute asks for.
#[allow(clippy::ref_option)] // The signature that serde asks for.
pub fn serialize<S: Serializer>(
    budget: &Option<Box<SlowStartBudget>>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    match budget {
        Some(budget) => budget.serialize(serializer),
        None => SlowStartBudget::default().serialize(serializer),
    }
}

/// Deserializes, as serde's `with` attribute asks for.
pub fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<Box<SlowStartBudget>>, D::Error> {
    Ok(Some(Box::new(SlowStartBudget::deserialize(deserializer)?)))
}
