use std::cell::{Cell, RefCell};

use route::notice::{Notice, Reach, Table};
use tokio::sync::Notify;

use crate::peers::Peer;
use crate::settings::Settings;

/// statements of VMs at this daemon
pub struct State {
    /// the statements
    pub table: RefCell<Table>,
    /// statements to send to the peers
    pub news: RefCell<Vec<Notice>>,
    /// notified when there are some
    pub news_ready: Notify,
    /// all daemons, this one included; none before it has joined them
    pub(super) daemons: RefCell<Vec<Peer>>,
    /// part of a limit that these daemons may use
    pub(super) part: Cell<f64>,
    pub(super) reach: Reach,
}

impl State {
    /// the state of a daemon that knows no statements
    pub fn new(settings: &Settings) -> State {
        let me = Peer {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
        };
        let daemons = if settings.is_alone {
            vec![me]
        } else {
            Vec::new()
        };
        State {
            table: RefCell::default(),
            news: RefCell::default(),
            news_ready: Notify::new(),
            daemons: RefCell::new(daemons),
            part: Cell::new(1.0),
            reach: Reach::default(),
        }
    }
}
