//! Serde functions, for use with `#[serde(with)]`, that represent a missing slow-start budget as a default one, because
//! earlier builds require the field.

use saffronpaddle_slow_start::SlowStartBudget;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Serializes the budget, or a default one for `None`.
#[allow(clippy::ref_option)] // Serde requires this signature.
pub fn serialize<S: Serializer>(
    budget: &Option<Box<SlowStartBudget>>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    match budget {
        Some(budget) => budget.serialize(serializer),
        None => SlowStartBudget::default().serialize(serializer),
    }
}

/// Deserializes the budget; the result is never `None`.
pub fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<Box<SlowStartBudget>>, D::Error> {
    Ok(Some(Box::new(SlowStartBudget::deserialize(deserializer)?)))
}
