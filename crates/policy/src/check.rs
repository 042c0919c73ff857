//! Refuses settings that make no sense.

use crate::interface::{Settings, SettingsError};

impl Settings {
    /// Whether the settings make sense.
    ///
    /// # Errors
    /// What is wrong with them.
    pub fn check(&self) -> Result<(), SettingsError> {
        let mut figures = vec![
            self.rules.cold_from,
            self.rules.fall_multiple,
            self.cross_zone,
        ];
        figures.extend([self.peer_messages_per_s, self.most_units]);
        for plan in &self.plans {
            figures.extend([
                plan.rate,
                plan.burst,
                plan.price,
                plan.over_worth,
                plan.over_cost,
            ]);
            figures.extend(
                plan.ceiling
                    .iter()
                    .flat_map(|ceiling| [ceiling.rate, ceiling.depth]),
            );
        }
        figures.extend(
            self.classes
                .iter()
                .flat_map(|class| [class.worth, class.late_value]),
        );
        let sound = figures
            .iter()
            .all(|figure| figure.is_finite() && *figure >= 0.0);
        match () {
            () if self.classes.is_empty() => Err(SettingsError::NoClasses),
            () if self.plans.is_empty() => Err(SettingsError::NoPlans),
            () if self.me.0 >= self.gateways => Err(SettingsError::BadGateway),
            () if !sound => Err(SettingsError::BadFigure),
            () => Ok(()),
        }
    }
}
