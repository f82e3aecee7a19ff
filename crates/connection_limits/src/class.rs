//! Classes of connections, and values kept for each of them.

use std::ops::{Index, IndexMut};

/// What a connection is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ConnectionClass {
    /// An accepted connection on which no request has arrived yet.
    Unidentified,
    /// A client that sent any request other than a worker's report.
    User,
    /// A worker that delivered a report.
    Worker,
    /// Another controller, in either direction.
    Peer,
    /// A call of this process to the state service, the cloud or a licence server.
    ExternalCall,
    /// A call of this process to a worker.
    WorkerCall,
}

/// The number of connection classes.
pub const CONNECTION_CLASS_COUNT: usize = 6;

impl ConnectionClass {
    /// All classes.
    pub const ALL: [ConnectionClass; CONNECTION_CLASS_COUNT] = [
        ConnectionClass::Unidentified,
        ConnectionClass::User,
        ConnectionClass::Worker,
        ConnectionClass::Peer,
        ConnectionClass::ExternalCall,
        ConnectionClass::WorkerCall,
    ];

    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            ConnectionClass::Unidentified => "newcomer",
            ConnectionClass::User => "user",
            ConnectionClass::Worker => "worker",
            ConnectionClass::Peer => "sibling",
            ConnectionClass::ExternalCall => "call",
            ConnectionClass::WorkerCall => "order",
        }
    }
}

/// One value for each class, in the order of [`ConnectionClass::ALL`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PerClass<T>(pub [T; CONNECTION_CLASS_COUNT]);

impl<T: Copy> PerClass<T> {
    /// Builds the values by calling `value` for each class.
    pub(crate) fn from_fn(value: impl Fn(ConnectionClass) -> T) -> PerClass<T> {
        PerClass(ConnectionClass::ALL.map(value))
    }

    /// Returns the sum over all classes.
    pub(crate) fn sum(&self) -> T
    where
        T: std::iter::Sum<T>,
    {
        self.0.iter().copied().sum()
    }
}

impl<T> Index<ConnectionClass> for PerClass<T> {
    type Output = T;

    fn index(&self, class: ConnectionClass) -> &T {
        &self.0[class as usize]
    }
}

impl<T> IndexMut<ConnectionClass> for PerClass<T> {
    fn index_mut(&mut self, class: ConnectionClass) -> &mut T {
        &mut self.0[class as usize]
    }
}
