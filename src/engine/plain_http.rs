use {
    super::*,
    crate::http::*,
    async_trait::async_trait,
    http::{HeaderMap, HeaderValue, header::CONTENT_TYPE},
    std::{net::SocketAddr, time::Duration},
};

/// Calls plain services over HTTP.
#[derive(Clone, Debug, Default)]
pub struct PlainHttp {
    client: HttpClient,
}

#[async_trait]
impl PlainService for PlainHttp {
    async fn call(
        &self,
        at: SocketAddr,
        call: &PlainCall,
        mut headers: HeaderMap,
        timeout: Duration,
    ) -> Result<PlainAnswer, EngineError> {
        if let Ok(kind) = HeaderValue::from_str(&call.content_type) {
            headers.insert(CONTENT_TYPE, kind);
        }
        let body = call.body.clone().into();
        let req = request(&call.method, at, &call.path, &headers, body)?;
        let exchange = async {
            let rep = self.client.exchange(req, timeout).await?;
            let status = rep.status().as_u16();
            let kind = rep.headers().get(CONTENT_TYPE);
            let content_type = kind.and_then(|v| v.to_str().ok()).unwrap_or("").to_string();
            let body = full_body(rep.into_body()).await?;
            Ok(PlainAnswer {
                status,
                content_type,
                body,
            })
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(answer) => answer,
            Err(_) => Err(HttpError::Timeout(timeout).into()),
        }
    }
}
