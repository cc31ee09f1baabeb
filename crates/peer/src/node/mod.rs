//! A daemon's node in the cluster: protocol core, connections and the tasks that run them.

mod error;
mod handle;
mod inner;
mod methods;
mod settings;
mod view;

pub use error::Error;
pub use handle::Node;
pub use settings::Settings;
pub use view::{Applied, Demand, Load, Publication, Rate, Traffic};
