use {
    super::PeerError,
    crate::conf::PeerSettings,
    rustls::{
        ClientConfig, RootCertStore, ServerConfig,
        pki_types::{CertificateDer, PrivateKeyDer, ServerName, pem::PemObject},
        server::WebPkiClientVerifier,
    },
    std::{path::Path, sync::Arc},
    tokio::{
        io::{AsyncRead, AsyncWrite},
        net::TcpStream,
    },
    tokio_rustls::{TlsAcceptor, TlsConnector},
};

/// The DNS name in the certificate of every daemon.
pub const PEER_NAME: &str = "saddlepulley-peer";

/// A byte stream to or from a peer, with or without TLS.
pub trait PeerStream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> PeerStream for T {}

/// Mutual TLS between daemons: both present a certificate of the same authority.
pub struct PeerTls {
    connector: TlsConnector,
    acceptor: TlsAcceptor,
    name: ServerName<'static>,
}

impl PeerTls {
    /// Reads the certificate, key and authority from the files in the settings; returns none if
    /// the settings turn TLS off.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::Tls`] if one of the three files is missing from the settings, can't
    /// be read or holds no valid certificate or key.
    pub fn from_settings(s: &PeerSettings) -> Result<Option<Arc<Self>>, PeerError> {
        if s.plain {
            return Ok(None);
        }
        let (Some(cert), Some(key), Some(ca)) = (&s.tls_cert, &s.tls_key, &s.tls_ca) else {
            return Err(PeerError::Tls(
                "expected tls_cert, tls_key and tls_ca".to_string(),
            ));
        };
        let mut roots = RootCertStore::empty();
        for ca in read_certs(ca)? {
            roots.add(ca).map_err(tls_error)?;
        }
        let roots = Arc::new(roots);
        let certs = read_certs(cert)?;
        let key = PrivateKeyDer::from_pem_file(key)
            .map_err(|e| PeerError::Tls(format!("{}: {e}", key.display())))?;
        let mut client = ClientConfig::builder()
            .with_root_certificates(roots.clone())
            .with_client_auth_cert(certs.clone(), key.clone_key())
            .map_err(tls_error)?;
        client.alpn_protocols = vec![b"h2".to_vec()];
        let verifier = WebPkiClientVerifier::builder(roots)
            .build()
            .map_err(tls_error)?;
        let mut server = ServerConfig::builder()
            .with_client_cert_verifier(verifier)
            .with_single_cert(certs, key)
            .map_err(tls_error)?;
        server.alpn_protocols = vec![b"h2".to_vec()];
        Ok(Some(Arc::new(Self {
            connector: TlsConnector::from(Arc::new(client)),
            acceptor: TlsAcceptor::from(Arc::new(server)),
            name: ServerName::try_from(PEER_NAME).map_err(tls_error)?,
        })))
    }

    /// Performs the TLS handshake as the client.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::Tls`] if the server's certificate is not valid or the handshake fails.
    pub async fn connect(&self, stream: TcpStream) -> Result<Box<dyn PeerStream>, PeerError> {
        let connected = self.connector.connect(self.name.clone(), stream).await;
        Ok(Box::new(connected.map_err(tls_error)?))
    }

    /// Performs the TLS handshake as the server.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::Tls`] if the client's certificate is not valid or the handshake fails.
    pub async fn accept(&self, stream: TcpStream) -> Result<Box<dyn PeerStream>, PeerError> {
        let accepted = self.acceptor.accept(stream).await;
        Ok(Box::new(accepted.map_err(tls_error)?))
    }
}

fn read_certs(path: &Path) -> Result<Vec<CertificateDer<'static>>, PeerError> {
    let with_path = |e| PeerError::Tls(format!("{}: {e}", path.display()));
    CertificateDer::pem_file_iter(path)
        .map_err(with_path)?
        .collect::<Result<_, _>>()
        .map_err(with_path)
}

fn tls_error(e: impl std::fmt::Display) -> PeerError {
    PeerError::Tls(e.to_string())
}
