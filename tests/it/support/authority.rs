use {
    rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair},
    std::{fs, path::Path},
};

/// A certificate authority that is created for a single test.
pub struct Authority {
    pem: String,
    issuer: Issuer<'static, KeyPair>,
}

impl Default for Authority {
    fn default() -> Self {
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().unwrap();
        let pem = params.self_signed(&key).unwrap().pem();
        Self {
            pem,
            issuer: Issuer::new(params, key),
        }
    }
}

impl Authority {
    pub fn write_ca(&self, path: &Path) {
        fs::write(path, &self.pem).unwrap();
    }

    pub fn write_cert(&self, cert: &Path, key: &Path) {
        let names = vec![saddlepulley::peer::PEER_NAME.to_string()];
        let params = CertificateParams::new(names).unwrap();
        let pair = KeyPair::generate().unwrap();
        let signed = params.signed_by(&pair, &self.issuer).unwrap();
        fs::write(cert, signed.pem()).unwrap();
        fs::write(key, pair.serialize_pem()).unwrap();
    }
}
