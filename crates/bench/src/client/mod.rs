//! A caller: completions with reattachment, bookings, and checks of answers.

mod answer;
mod ask;
mod caller;
mod events;
mod fault;
mod stream;

pub use answer::{Answer, Booking};
pub use ask::Ask;
pub use caller::Client;
pub use events::{Event, Events};
pub use fault::Fault;
pub use stream::{Step, Stream};
