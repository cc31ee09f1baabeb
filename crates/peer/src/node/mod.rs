//! One daemon among the others: the rules, the connections and the tasks that join them.

mod error;
mod handle;
mod inner;
mod methods;
mod settings;
mod view;

pub use error::Error;
pub use handle::Node;
pub use settings::Settings;
pub use view::{Applied, Demand, Load, Notice, Rate, Traffic};
