//! Refuses settings that make no sense.

use crate::interface::{Settings, SettingsError};

impl Settings {
    /// Whether the settings make sense.
    ///
    /// # Errors
    /// What is wrong with them.
    pub fn check(&self) -> Result<(), SettingsError> {
        let mut figures = vec![
            self.slow_start.initial_capacity,
            self.slow_start.overload_multiple,
            self.cross_zone_cost,
        ];
        figures.extend([self.peer_messages_per_s, self.max_request_units]);
        for plan in &self.plans {
            figures.extend([
                plan.rate,
                plan.burst,
                plan.priority_weight,
                plan.over_quota_value,
                plan.over_quota_cost,
            ]);
            figures.extend(
                plan.hard_limit
                    .iter()
                    .flat_map(|ceiling| [ceiling.rate, ceiling.capacity]),
            );
        }
        figures.extend(
            self.classes
                .iter()
                .flat_map(|class| [class.priority_weight, class.late_value]),
        );
        let sound = figures
            .iter()
            .all(|figure| figure.is_finite() && *figure >= 0.0);
        match () {
            () if self.classes.is_empty() => Err(SettingsError::NoClasses),
            () if self.plans.is_empty() => Err(SettingsError::NoPlans),
            () if self.node.0 >= self.node_count => Err(SettingsError::UnknownNode),
            () if !sound => Err(SettingsError::InvalidNumber),
            () => Ok(()),
        }
    }
}
