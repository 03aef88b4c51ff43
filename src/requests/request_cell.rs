use {
    super::*,
    crate::names::*,
    parking_lot::{Mutex, MutexGuard},
    std::sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    tokio::sync::watch,
};

/// Where the owner's attempt shall go on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum MoveOrder {
    /// Where it is.
    #[default]
    Stay,
    /// Off this upstream, to a target that has the KV cache, or to any.
    Leave {
        /// The upstream that is leaving.
        from: BoxId,
        /// The target, if one was prepared.
        to: Option<BoxId>,
    },
}

/// A request's record with what wakes those who wait on it.
///
/// The record's lock is the innermost: no other lock is taken while it is held.
#[derive(Debug)]
pub struct RequestCell {
    id: RequestId,
    record: Mutex<Record>,
    changed: watch::Sender<u64>,
    orders: watch::Sender<MoveOrder>,
    owners: watch::Sender<u64>,
    queued: AtomicBool,
    moving: AtomicBool,
}

impl RequestCell {
    /// Wraps a record.
    pub fn new(record: Record) -> Arc<Self> {
        Arc::new(Self {
            id: record.spec.id,
            record: Mutex::new(record),
            changed: watch::Sender::new(0),
            orders: watch::Sender::new(MoveOrder::Stay),
            owners: watch::Sender::new(0),
            queued: AtomicBool::new(false),
            moving: AtomicBool::new(false),
        })
    }

    /// Returns the request's identifier.
    pub fn id(&self) -> RequestId {
        self.id
    }

    /// Returns what was asked.
    pub fn spec(&self) -> Arc<RequestSpec> {
        self.record.lock().spec.clone()
    }

    /// Locks the record for reading.
    pub fn read(&self) -> MutexGuard<'_, Record> {
        self.record.lock()
    }

    /// Changes the record and wakes those who wait.
    pub fn change<T>(&self, f: impl FnOnce(&mut Record) -> T) -> T {
        let out = f(&mut self.record.lock());
        self.changed.send_modify(|n| *n += 1);
        out
    }

    /// Changes who owns the request, or ends it, and wakes its run as well.
    pub fn change_owner<T>(&self, f: impl FnOnce(&mut Record) -> T) -> T {
        let out = self.change(f);
        self.owners.send_modify(|n| *n += 1);
        out
    }

    /// Returns a receiver that wakes when the owner changed or the request ended.
    pub fn watch_owner(&self) -> watch::Receiver<u64> {
        self.owners.subscribe()
    }

    /// Returns a receiver that wakes on each change.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Tells the owner's attempt to go on elsewhere.
    pub fn order(&self, order: MoveOrder) {
        self.orders.send_replace(order);
    }

    /// Returns a receiver of move orders.
    pub fn orders(&self) -> watch::Receiver<MoveOrder> {
        self.orders.subscribe()
    }

    /// Marks the request as waiting to be copied; returns whether it was not yet.
    pub fn queue(&self) -> bool {
        !self.queued.swap(true, Ordering::SeqCst)
    }

    /// Takes the mark off, before the record is read for copying.
    pub fn unqueue(&self) {
        self.queued.store(false, Ordering::SeqCst);
    }

    /// Marks the request as being handed over; returns none if it is already.
    pub fn start_move(&self) -> Option<Moving<'_>> {
        let started = !self.moving.swap(true, Ordering::SeqCst);
        started.then_some(Moving { cell: self })
    }

    /// Counts in a reader of the answer.
    pub fn reader(self: &Arc<Self>) -> Reader {
        self.record.lock().readers += 1;
        Reader { cell: self.clone() }
    }
}

/// A hand-over on its way; only one at a time.
#[derive(Debug)]
pub struct Moving<'a> {
    cell: &'a RequestCell,
}

impl Drop for Moving<'_> {
    fn drop(&mut self) {
        self.cell.moving.store(false, Ordering::SeqCst);
    }
}

/// A reader of the answer; it counts itself out when dropped.
#[derive(Debug)]
pub struct Reader {
    cell: Arc<RequestCell>,
}

impl Drop for Reader {
    fn drop(&mut self) {
        let mut record = self.cell.record.lock();
        record.readers = record.readers.saturating_sub(1);
        if record.readers == 0 {
            record.unread_since_ms = now_ms();
        }
    }
}
