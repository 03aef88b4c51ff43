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

/// Where the owner's attempt is to continue.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum MoveOrder {
    /// At its current upstream.
    #[default]
    Stay,
    /// At another upstream: the target that has the KV cache, or any if there is none.
    Leave {
        /// The upstream to leave.
        from: BoxId,
        /// The target that was prepared with the KV cache, if any.
        to: Option<BoxId>,
    },
}

/// A request's record, with channels that notify tasks of its changes.
///
/// The record's lock is the innermost: no other lock is taken while it is held.
#[derive(Debug)]
pub struct RequestCell {
    id: RequestId,
    record: Mutex<Record>,
    /// Counts the changes of the record.
    changed: watch::Sender<u64>,
    orders: watch::Sender<MoveOrder>,
    /// Counts the changes of owner and the ending.
    owners: watch::Sender<u64>,
    /// True while the request waits to be copied.
    queued: AtomicBool,
    /// True while the request is being handed over.
    moving: AtomicBool,
}

impl RequestCell {
    /// Creates a cell that holds a record.
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

    /// Returns the specification of the request.
    pub fn spec(&self) -> Arc<RequestSpec> {
        self.record.lock().spec.clone()
    }

    /// Locks the record for reading.
    pub fn read(&self) -> MutexGuard<'_, Record> {
        self.record.lock()
    }

    /// Changes the record and notifies the tasks that watch it.
    pub fn change<T>(&self, f: impl FnOnce(&mut Record) -> T) -> T {
        let out = f(&mut self.record.lock());
        self.changed.send_modify(|n| *n += 1);
        out
    }

    /// Changes the owner of the request, or ends it, and also notifies the task that runs it.
    pub fn change_owner<T>(&self, f: impl FnOnce(&mut Record) -> T) -> T {
        let out = self.change(f);
        self.owners.send_modify(|n| *n += 1);
        out
    }

    /// Returns a receiver that is notified when the owner changes or the request ends.
    pub fn watch_owner(&self) -> watch::Receiver<u64> {
        self.owners.subscribe()
    }

    /// Returns a receiver that is notified of each change.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Orders the owner's attempt to continue as given.
    pub fn order(&self, order: MoveOrder) {
        self.orders.send_replace(order);
    }

    /// Returns a receiver of move orders.
    pub fn orders(&self) -> watch::Receiver<MoveOrder> {
        self.orders.subscribe()
    }

    /// Marks the request as waiting to be copied. Returns false if it was marked already.
    pub fn queue(&self) -> bool {
        !self.queued.swap(true, Ordering::SeqCst)
    }

    /// Clears the mark set by [`queue`](Self::queue). This happens before the record is read
    /// for copying, so that a later change queues the request again.
    pub fn unqueue(&self) {
        self.queued.store(false, Ordering::SeqCst);
    }

    /// Marks the request as being handed over until the returned guard is dropped. Returns
    /// `None` if a hand-over is already in progress.
    pub fn start_move(&self) -> Option<Moving<'_>> {
        let started = !self.moving.swap(true, Ordering::SeqCst);
        started.then_some(Moving { cell: self })
    }

    /// Registers a reader of the answer until the returned guard is dropped.
    pub fn reader(self: &Arc<Self>) -> Reader {
        self.record.lock().readers += 1;
        Reader { cell: self.clone() }
    }
}

/// The guard of a hand-over in progress; a request has at most one.
#[derive(Debug)]
pub struct Moving<'a> {
    cell: &'a RequestCell,
}

impl Drop for Moving<'_> {
    fn drop(&mut self) {
        self.cell.moving.store(false, Ordering::SeqCst);
    }
}

/// The guard of a registered reader of an answer. The last one to be dropped sets the time
/// since which nobody reads the answer.
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
