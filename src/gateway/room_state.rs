//! The queue of requests that wait at a hub while all upstreams of their service have too much work.

use {
    super::{request_placement::unshared_tokens, room_table::*, *},
    crate::{
        cluster::RequestUrgency,
        names::{ClientAccount, ServiceName},
        policy::*,
        routing::RouteKind,
        upstreams::ReadyUpstreams,
    },
    std::{sync::Arc, time::Duration},
};

/// Interval at which a hub checks whether upstreams have room for waiting requests.
const RELEASE_INTERVAL: Duration = Duration::from_millis(10);

/// The shortest `Retry-After` of a request that is refused for lack of room. The loads of upstreams
/// change little in a shorter time.
const MIN_ROOM_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The place in the queue of a request that waits, or that was released and is not placed yet. It is
/// freed when this value is dropped.
#[derive(Debug)]
pub struct QueuePlace<'a> {
    gateway: &'a Gateway,
    service: ServiceName,
    ticket: u64,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        let mut rooms = self.gateway.rooms.lock();
        rooms.service(&self.service).remove(self.ticket);
    }
}

impl Gateway {
    /// Waits until an upstream can soon begin with a request. Returns none at once if one can, or if
    /// requests don't wait at this daemon; otherwise the request's place in the queue, which is kept
    /// until the request is placed.
    ///
    /// # Errors
    ///
    /// Returns the time after which room is expected, if the request can't begin in time.
    pub(super) async fn wait_for_room(
        &self,
        request: &PlacementRequest,
        account: Option<&str>,
        id: &str,
    ) -> Result<Option<QueuePlace<'_>>, Duration> {
        let Some(((ticket, rx), room)) = self.queue_if_no_room(request, account, id)? else {
            return Ok(None);
        };
        let place = QueuePlace {
            gateway: self,
            service: request.service.clone(),
            ticket,
        };
        self.room_wake.notify_one();
        match rx.await {
            Ok(Ok(waited)) => {
                metrics::counter!(ROOM_RELEASED).increment(1);
                metrics::histogram!(ROOM_WAITED).record(waited.as_secs_f64());
                log::info!(
                    target: "room",
                    "request released. request={id} after_ms={}",
                    waited.as_millis()
                );
                Ok(Some(place))
            }
            Ok(Err(refusal)) => Err(self.refuse_room(request, id, &refusal, &room)),
            // The sender is dropped only with the daemon's state.
            Err(_) => Ok(None),
        }
    }

    /// Adds a request to the queue if no upstream can soon begin with it. Returns none if one can.
    ///
    /// # Errors
    ///
    /// Returns the time after which room is expected, if the request can't begin in time.
    fn queue_if_no_room(
        &self,
        request: &PlacementRequest,
        account: Option<&str>,
        id: &str,
    ) -> Result<Option<(RoomWait, Room)>, Duration> {
        // A request that was sent to an upstream before has already waited.
        let may_wait = self.settings.mechanisms.room_queue && request.tried.is_empty();
        let Some(urgency) = request.urgency.filter(|_| may_wait) else {
            return Ok(None);
        };
        let times = self.engine_times(&request.service);
        let unread_tokens = self.likely_unread(&request.prompt);
        let work_ms = unread_tokens as f64 * times.ms_per_token;
        let now_ms = self.steady_ms();
        if self.takes_known_room(&request.service, work_ms, now_ms) {
            return Ok(None);
        }
        let Some((bound_ms, is_streaming)) = self.room_bound(&request.service) else {
            return Ok(None);
        };
        let loads = self.service_loads(&request.service, times, bound_ms);
        let entry = waiting_request(&urgency, account, work_ms, &loads, is_streaming, now_ms);
        let mut rooms = self.rooms.lock();
        let service = rooms.service(&request.service);
        let room = service.update_room(&loads, now_ms);
        if service.queue.is_empty() && (room.is_open() || room.upstreams == 0) {
            // The requests that follow see only the room that this one leaves.
            service.take_from_view(work_ms, now_ms);
            return Ok(None);
        }
        let joined = service.join(entry, &room, now_ms);
        let waiting = service.queue.len();
        drop(rooms);
        // Waiting and refused requests count as demand, since the fleet has to grow for them.
        self.record_demand(&request.service, unread_tokens);
        let wait = joined.map_err(|refusal| self.refuse_room(request, id, &refusal, &room))?;
        let priority = urgency.priority;
        log::info!(
            target: "room",
            "request held. request={id} service={} priority={priority} work_ms={work_ms:.0} least_ms={:.0} bound_ms={bound_ms:.0} upstreams={} waiting={waiting} share={:.2} loads_age_ms={}",
            request.service,
            room.least_backlog_ms,
            room.upstreams,
            room.own_share,
            room.loads_age_ms
        );
        Ok(Some((wait, room)))
    }

    /// Takes room for a request from the room that was computed last. Returns false if it has to be
    /// computed anew.
    fn takes_known_room(&self, service: &ServiceName, work_ms: f64, now_ms: u64) -> bool {
        let mut rooms = self.rooms.lock();
        rooms.service(service).take_from_view(work_ms, now_ms)
    }

    /// Returns the prompt tokens that an upstream will likely have to read: with homes, those
    /// that no other request shares.
    fn likely_unread(&self, prompt: &Prompt) -> u64 {
        match self.settings.mechanisms.homes && prompt.shared_chain().is_some() {
            true => unshared_tokens(prompt),
            false => prompt.unread_tokens(0),
        }
    }

    /// Counts and logs a request that is refused for lack of room. Returns its `Retry-After`.
    fn refuse_room(
        &self,
        request: &PlacementRequest,
        id: &str,
        refusal: &RoomRefusal,
        room: &Room,
    ) -> Duration {
        metrics::counter!(ROOM_REFUSED).increment(1);
        log::warn!(
            target: "room",
            "request refused. request={id} service={} wait_ms={} full={} upstreams={} share={:.2} loads_age_ms={}",
            request.service,
            refusal.retry_after_ms,
            refusal.is_full,
            room.upstreams,
            room.own_share,
            room.loads_age_ms
        );
        Duration::from_millis(refusal.retry_after_ms).max(MIN_ROOM_RETRY_AFTER)
    }

    /// Returns how long a request may wait behind others at an upstream and still meet the shortest
    /// target latency of the service's routes, and whether any of these routes are streams. If some
    /// are, their target latencies alone decide; a target is then met by the first event.
    fn room_bound(&self, service: &ServiceName) -> Option<(f64, bool)> {
        let table = self.table()?;
        let routes = &table.config().routes;
        let serving = routes
            .iter()
            .filter(|r| r.services.iter().any(|s| s.service == *service));
        let (streaming, others): (Vec<_>, Vec<_>) =
            serving.partition(|r| r.kind == RouteKind::Streaming);
        let is_streaming = !streaming.is_empty();
        let deciding = if is_streaming { streaming } else { others };
        let smallest = deciding.iter().map(|r| r.target_latency_ms).min()?;
        Some((Room::bound_ms(smallest, self.loads_age_ms()), is_streaming))
    }

    /// Collects the loads of the upstreams of a service that may be used now.
    fn service_loads(
        &self,
        service: &ServiceName,
        times: EngineTimes,
        bound_ms: f64,
    ) -> ServiceLoads {
        let ready = self.directory.read().ready_list(service);
        let candidates = self.usable_candidates(service, &ready);
        let own = self.loads_with_dependents();
        let own = ready.upstreams.iter().filter_map(|u| own.get(&u.id));
        ServiceLoads {
            own: own.map(|(active, _)| *active).sum(),
            all: candidates.iter().map(|c| c.active).sum(),
            hubs: self.other_hubs().len() + 1,
            age_ms: self.loads_age_ms(),
            ids: ready.upstreams.iter().map(|u| u.id.clone()).collect(),
            candidates,
            times,
            bound_ms,
        }
    }

    /// Returns the candidates for a request of a service that has nothing to read. Those that can't
    /// be used now are marked as tried.
    pub(super) fn usable_candidates(
        &self,
        service: &ServiceName,
        ready: &ReadyUpstreams,
    ) -> Vec<Candidate> {
        let request = PlacementRequest {
            service: service.clone(),
            target_ms: 0.0,
            prompt: Prompt::default(),
            tried: Vec::new(),
            avoided: Vec::new(),
            in_cooldown: Vec::new(),
            domain: self.domain().clone(),
            isolation_key: None,
            urgency: None,
            version: None,
            is_counted: true,
        };
        let mut candidates = self.candidates(&request, ready, None);
        for (index, factor) in self.time_factors(ready) {
            candidates[index].time_factor = factor;
        }
        let excluded = self
            .excluded_by_limits(0)
            .into_iter()
            .chain(self.in_cooldown());
        for index in excluded.filter_map(|id| ready.index_of(&id)) {
            candidates[index].tried = true;
        }
        candidates
    }

    /// Releases the waiting requests for which upstreams have room by now, and refuses those that can
    /// no longer be in time. Returns whether any requests were waiting.
    pub fn release_waiting(&self) -> bool {
        let services = self.rooms.lock().waiting();
        for name in &services {
            let now_ms = self.steady_ms();
            let Some((bound_ms, _)) = self.room_bound(name) else {
                // No route leads to the service any longer, so no target limits the wait.
                self.rooms.lock().service(name).release_all(now_ms);
                continue;
            };
            let loads = self.service_loads(name, self.engine_times(name), bound_ms);
            let mut rooms = self.rooms.lock();
            let service = rooms.service(name);
            let room = service.update_room(&loads, now_ms);
            service.release(&room, now_ms);
        }
        let counts = self.rooms.lock().by_priority();
        for (priority, count) in counts.iter().enumerate() {
            let label = [("priority", priority.to_string())];
            metrics::gauge!(ROOM_WAITING, &label).set(*count as f64);
        }
        !services.is_empty()
    }
}

/// Releases waiting requests as upstreams get room for them. Sleeps while no request waits.
pub(super) async fn release_when_room(gateway: Arc<Gateway>) {
    loop {
        gateway.room_wake.notified().await;
        while gateway.release_waiting() {
            tokio::time::sleep(RELEASE_INTERVAL).await;
        }
    }
}

fn waiting_request(
    urgency: &RequestUrgency,
    account: Option<&str>,
    work_ms: f64,
    loads: &ServiceLoads,
    is_streaming: bool,
    now_ms: u64,
) -> WaitingRequest {
    let answer_ms = match is_streaming {
        true => work_ms.max(loads.times.first_event_ms),
        false => work_ms.max(loads.times.stay_ms),
    };
    // Once it is sent, a request waits behind others for up to the bound.
    let to_answer_ms = (answer_ms + loads.bound_ms) as u64;
    let latest_start_ms = now_ms + u64::from(urgency.target_left_ms);
    WaitingRequest {
        priority: urgency.priority,
        account: ClientAccount::from(account.unwrap_or_default()),
        arrived_ms: now_ms,
        latest_start_ms: latest_start_ms.saturating_sub(to_answer_ms),
        given_up_ms: now_ms + u64::from(urgency.time_left_ms),
        work_ms,
    }
}
