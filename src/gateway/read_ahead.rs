use {
    super::{AnswerBody, BufferedBytes, streamed_body},
    bytes::Bytes,
    futures_util::{Stream, StreamExt, stream},
    std::{io, pin::pin, sync::Arc},
    tokio::{sync::mpsc, task::JoinSet},
};

/// Builds a body that continues to read an answer from its upstream while the client does not
/// read, as far as there is free memory.
/// Dropping the body cancels the request.
pub fn read_ahead(
    chunks: impl Stream<Item = io::Result<Bytes>> + Send + 'static,
    buffered: BufferedBytes,
) -> AnswerBody {
    let buffered = Arc::new(buffered);
    let (tx, rx) = mpsc::unbounded_channel();
    let mut reader = JoinSet::new();
    reader.spawn(read(chunks, buffered.clone(), tx));
    // A dropped `JoinSet` ends its task.
    let chunks = stream::unfold(
        (rx, buffered, reader),
        |(mut rx, buffered, reader)| async move {
            let chunk: io::Result<Bytes> = rx.recv().await?;
            if let Ok(bytes) = &chunk {
                buffered.take(bytes.len());
            }
            Some((chunk, (rx, buffered, reader)))
        },
    );
    streamed_body(chunks)
}

/// Reads an answer to its end. The channel is unbounded, as `buffered` bounds the bytes in it.
async fn read(
    chunks: impl Stream<Item = io::Result<Bytes>>,
    buffered: Arc<BufferedBytes>,
    tx: mpsc::UnboundedSender<io::Result<Bytes>>,
) {
    let mut chunks = pin!(chunks);
    while let Some(chunk) = chunks.next().await {
        if let Ok(bytes) = &chunk {
            buffered.add_when_free(bytes.len()).await;
        }
        if tx.send(chunk).is_err() {
            // The body was dropped, so nobody reads the answer any more.
            return;
        }
    }
}
