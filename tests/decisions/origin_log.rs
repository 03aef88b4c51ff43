//! What a daemon takes from the shared log of streams' origins, and how often it writes to it.

use {
    crate::{odd_documents::odd_documents, support},
    async_trait::async_trait,
    bytes::Bytes,
    futures_util::future::join_all,
    parking_lot::Mutex,
    saddlepulley::{cluster::*, names::*, policy::*},
    std::{sync::Arc, time::Duration},
};

const STREAM: AttemptKey = AttemptKey(7);

/// A log in memory that counts its reads.
#[derive(Default)]
struct MemoryLog {
    records: Mutex<Vec<Bytes>>,
    reads: Mutex<usize>,
}

#[async_trait]
impl SharedLog for MemoryLog {
    fn era(&self) -> SourceEra {
        SourceEra::default()
    }

    async fn read(&self, _: &str, from: u64) -> Result<TopicPage, BackendError> {
        *self.reads.lock() += 1;
        let records = self.records.lock();
        Ok(TopicPage {
            from,
            end: records.len() as u64,
            records: records[from as usize..].to_vec(),
            ..TopicPage::default()
        })
    }

    async fn append_at(&self, _: &str, _: u64, _: &[Bytes]) -> Result<AppendOutcome, BackendError> {
        Err(BackendError::NotDone("not needed here".to_string()))
    }

    async fn append(&self, _: &str, records: &[Bytes]) -> Result<(), BackendError> {
        self.records.lock().extend_from_slice(records);
        Ok(())
    }
}

fn record_of_stream() -> Bytes {
    let part = OriginsPart {
        service: "s".to_string(),
        version: "v2".to_string(),
        left_ms: 60_000,
        is_to_log: false,
        attempts: vec![STREAM.0],
    };
    let encoded = bincode::encode_to_vec(part, bincode::config::standard());
    encoded.unwrap().into()
}

/// Guards against streams at two versions: a read from before a stream began counted as proof that nobody knows it.
#[tokio::test]
async fn a_read_that_began_before_the_request_does_not_show_that_a_stream_is_unknown() {
    let gateway = Arc::new(support::gateway(""));
    let log = Arc::new(MemoryLog::default());
    let origins = OriginLog::new(log.clone());
    assert!(origins.read(&gateway).await);
    assert_eq!(gateway.known_origin(STREAM), None);
    log.append("", &[record_of_stream()]).await.unwrap();
    assert!(origins.read(&gateway).await);
    assert_eq!(gateway.known_origin(STREAM), Some("v2".into()));
}

/// Guards against an abort of the process: records that declare a list or a name longer than the available
/// memory made the decoder allocate it.
#[tokio::test]
async fn a_record_that_declares_a_huge_list_or_name_is_skipped() {
    let gateway = Arc::new(support::gateway(""));
    let log = Arc::new(MemoryLog::default());
    let origins = OriginLog::new(log.clone());
    // The numbers of bytes before the lengths of the service, of the version and of the list of attempts.
    for zeros in [0, 1, 4] {
        let mut record = vec![0; zeros];
        record.push(253);
        record.extend(0x000f_ffff_ffff_ffff_u64.to_le_bytes());
        log.append("", &[record.into()]).await.unwrap();
    }
    for odd in odd_documents("{}") {
        log.append("", &[odd.into()]).await.unwrap();
    }
    log.append("", &[record_of_stream()]).await.unwrap();
    assert!(origins.read(&gateway).await);
    assert_eq!(gateway.known_origin(STREAM), Some("v2".into()));
}

#[tokio::test]
async fn requests_that_wait_for_the_log_at_once_share_its_reads() {
    let gateway = Arc::new(support::gateway(""));
    let log = Arc::new(MemoryLog::default());
    let origins = OriginLog::new(log.clone());
    let reads = (0..50).map(|_| origins.read(&gateway));
    assert!(join_all(reads).await.into_iter().all(|is_read| is_read));
    assert!(*log.reads.lock() <= 2, "{}", log.reads.lock());
}

/// Guards against lost streams: those of the last half second were unknown after a loss of all daemons.
#[test]
fn the_fewer_hubs_write_the_sooner_the_log_knows_a_stream() {
    let interval_ms = |hubs| origin_write_interval(hubs).as_millis();
    assert_eq!(interval_ms(0), 50);
    assert_eq!(interval_ms(1), 50);
    assert_eq!(interval_ms(8), 80);
    assert_eq!(interval_ms(45), 450);
    assert_eq!(
        interval_ms(90),
        500,
        "no later than a loss of streams allows"
    );
    for hubs in 5..=50_u32 {
        let writes_per_s = f64::from(hubs) / origin_write_interval(hubs as usize).as_secs_f64();
        assert!(writes_per_s <= 100.0 + 1e-6, "{hubs} hubs: {writes_per_s}");
    }
    assert!(origin_write_interval(1_000) <= Duration::from_millis(500));
}
