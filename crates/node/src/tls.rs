//! Keys and certificates for mutual TLS between entries.
//!
//! One certificate authority issues the certificate of each entry, which holds the entry's name as
//! a DNS name. Both sides of a connection present and verify certificates.

use std::fmt;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose, date_time_ymd,
};
use rustls::client::WebPkiServerVerifier;
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::crypto::CryptoProvider;
use rustls::server::WebPkiClientVerifier;
use rustls::{CertificateError, DigitallySignedStruct, RootCertStore, SignatureScheme};
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer, ServerName, UnixTime};
use x509_parser::prelude::{FromDer, GeneralName, X509Certificate};

use crate::settings;

/// ALPN protocol name of the connections between entries, with its version.
pub const ALPN_PROTOCOL: &[u8] = b"ebonypass/1";

/// Validity period of certificates that [`issue`] creates.
const CERTIFICATE_LIFETIME: Duration = Duration::from_secs(90 * 86_400);

/// How long before a certificate expires the warning starts.
pub const EXPIRY_WARNING: Duration = Duration::from_secs(14 * 86_400);

/// What is wrong with a key or certificate.
#[derive(Debug)]
pub enum Error {
    /// A file cannot be read or written.
    File(PathBuf, std::io::Error),
    /// A file contains no usable key or certificate.
    Malformed(PathBuf, String),
    /// A key or certificate cannot be created.
    Issue(rcgen::Error),
    /// The key does not match the certificate, or the TLS library rejects them.
    Config(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::File(path, error) => write!(f, "{}: {error}", path.display()),
            Error::Malformed(path, cause) => write!(f, "{}: {cause}", path.display()),
            Error::Issue(error) => write!(f, "cannot issue a certificate: {error}"),
            Error::Config(cause) => write!(f, "invalid TLS configuration: {cause}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<rcgen::Error> for Error {
    fn from(error: rcgen::Error) -> Error {
        Error::Issue(error)
    }
}

/// A certificate and its private key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Credentials {
    /// The certificate in PEM form.
    pub certificate: String,
    /// The private key in PEM form.
    pub key: String,
}

impl Credentials {
    /// Creates `<stem>.pem` and `<stem>.key` in `dir`. Only the owner may read the key.
    ///
    /// Errors: a file exists already or cannot be written.
    pub fn write(&self, dir: &Path, stem: &str) -> Result<(), Error> {
        write_file(&dir.join(format!("{stem}.pem")), &self.certificate, 0o644)?;
        write_file(&dir.join(format!("{stem}.key")), &self.key, 0o600)
    }

    /// Reads what [`Credentials::write`] wrote.
    pub fn read(dir: &Path, stem: &str) -> Result<Credentials, Error> {
        let certificate = read_file(&dir.join(format!("{stem}.pem")))?;
        Ok(Credentials { certificate, key: read_file(&dir.join(format!("{stem}.key")))? })
    }
}

fn write_file(path: &Path, text: &str, mode: u32) -> Result<(), Error> {
    use std::io::Write;
    use std::os::unix::fs::OpenOptionsExt;
    let open = fs::OpenOptions::new().write(true).create_new(true).mode(mode).open(path);
    let written = open.and_then(|mut file| file.write_all(text.as_bytes()));
    written.map_err(|error| Error::File(path.to_owned(), error))
}

fn read_file(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|error| Error::File(path.to_owned(), error))
}

/// Creates a certificate authority. Its certificate expires in 2050.
pub fn new_authority() -> Result<Credentials, Error> {
    let key = KeyPair::generate()?;
    let mut params = CertificateParams::default();
    params.distinguished_name.push(DnType::CommonName, "ebonypass authority");
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::DigitalSignature];
    params.not_after = date_time_ymd(2050, 1, 1);
    let certificate = params.self_signed(&key)?;
    Ok(Credentials { certificate: certificate.pem(), key: key.serialize_pem() })
}

/// Issues a certificate for the entry `name` that is valid for 90 days.
pub fn issue(authority: &Credentials, name: &str) -> Result<Credentials, Error> {
    issue_with_lifetime(authority, name, CERTIFICATE_LIFETIME)
}

/// Issues a certificate for the entry `name` that is valid for `lifetime`.
pub fn issue_with_lifetime(
    authority: &Credentials,
    name: &str,
    lifetime: Duration,
) -> Result<Credentials, Error> {
    let issuer_key = KeyPair::from_pem(&authority.key)?;
    let issuer = Issuer::from_ca_cert_pem(&authority.certificate, issuer_key)?;
    let key = KeyPair::generate()?;
    let mut params = CertificateParams::new([name.to_owned()])?;
    params.distinguished_name.push(DnType::CommonName, name);
    params.extended_key_usages =
        vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    let now = SystemTime::now();
    // The clocks of VMs may differ by some minutes.
    params.not_before = (now - Duration::from_secs(3_600)).into();
    params.not_after = (now + lifetime).into();
    let certificate = params.signed_by(&key, &issuer)?;
    Ok(Credentials { certificate: certificate.pem(), key: key.serialize_pem() })
}

/// Accepts a server with any name whose certificate a trusted authority issued. Addresses in the
/// settings have no names, so the caller reads the name from the certificate.
#[derive(Debug)]
struct AnyNameVerifier {
    inner: Arc<WebPkiServerVerifier>,
}

impl ServerCertVerifier for AnyNameVerifier {
    fn verify_server_cert(
        &self,
        certificate: &CertificateDer<'_>,
        intermediates: &[CertificateDer<'_>],
        _: &ServerName<'_>,
        ocsp: &[u8],
        now: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        let malformed = rustls::Error::InvalidCertificate(CertificateError::BadEncoding);
        let name = dns_name(certificate).ok_or(malformed.clone())?;
        let name = ServerName::try_from(name).map_err(|_| malformed)?;
        self.inner.verify_server_cert(certificate, intermediates, &name, ocsp, now)
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        self.inner.verify_tls12_signature(message, certificate, signature)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        self.inner.verify_tls13_signature(message, certificate, signature)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.inner.supported_verify_schemes()
    }
}

/// The trusted authorities, and this process's certificate chain and key, read from files.
#[derive(Debug)]
pub struct Identity {
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    name: String,
    expiry: SystemTime,
}

impl Identity {
    /// Loads `files`.
    ///
    /// Errors: a file cannot be read or parsed, or the key does not match the certificate.
    pub fn load(files: &settings::Tls) -> Result<Identity, Error> {
        let roots = Arc::new(read_roots(&files.authority)?);
        let chain = read_chain(&files.certificate)?;
        let key = PrivateKeyDer::from_pem_slice(read_file(&files.key)?.as_bytes())
            .map_err(|error| Error::Malformed(files.key.clone(), error.to_string()))?;
        let malformed = |cause: &str| Error::Malformed(files.certificate.clone(), cause.to_owned());
        let name =
            dns_name(&chain[0]).ok_or_else(|| malformed("the certificate has no DNS name"))?;
        let expiry = expiry_time(&chain[0])
            .ok_or_else(|| malformed("the certificate has no valid expiry time"))?;
        let identity = Identity { roots, chain, key, name, expiry };
        identity.server_config()?;
        Ok(identity)
    }

    /// The DNS name in the certificate.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// When the certificate expires.
    pub const fn expiry(&self) -> SystemTime {
        self.expiry
    }

    /// Whether the certificate expires within [`EXPIRY_WARNING`] of `now`.
    pub fn expires_soon(&self, now: SystemTime) -> bool {
        now + EXPIRY_WARNING >= self.expiry
    }

    /// Configuration of a server that accepts only clients with a certificate of a trusted
    /// authority.
    pub fn server_config(&self) -> Result<rustls::ServerConfig, Error> {
        let verifier = WebPkiClientVerifier::builder_with_provider(self.roots.clone(), provider())
            .build()
            .map_err(config_error)?;
        let mut config = rustls::ServerConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(config_error)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .map_err(config_error)?;
        config.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        Ok(config)
    }

    /// Configuration of a client that presents the certificate and accepts only servers with a
    /// certificate of a trusted authority.
    pub fn client_config(&self) -> Result<rustls::ClientConfig, Error> {
        let mut config = rustls::ClientConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(config_error)?
            .with_root_certificates(self.roots.clone())
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
            .map_err(config_error)?;
        config.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        Ok(config)
    }

    /// Like [`Identity::client_config`], but accepts any server name in a certificate of a trusted
    /// authority. The caller must read the name with [`dns_name`] and check it.
    pub fn client_config_any_name(&self) -> Result<rustls::ClientConfig, Error> {
        let inner = WebPkiServerVerifier::builder_with_provider(self.roots.clone(), provider())
            .build()
            .map_err(config_error)?;
        let mut config = self.client_config()?;
        config.dangerous().set_certificate_verifier(Arc::new(AnyNameVerifier { inner }));
        Ok(config)
    }
}

fn config_error(error: impl fmt::Display) -> Error {
    Error::Config(error.to_string())
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn read_chain(path: &Path) -> Result<Vec<CertificateDer<'static>>, Error> {
    let text = read_file(path)?;
    let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(text.as_bytes()).collect();
    let malformed = |cause: String| Error::Malformed(path.to_owned(), cause);
    let chain = chain.map_err(|error| malformed(error.to_string()))?;
    if chain.is_empty() {
        return Err(malformed("the file contains no certificate".to_owned()));
    }
    Ok(chain)
}

fn read_roots(path: &Path) -> Result<RootCertStore, Error> {
    let mut roots = RootCertStore::empty();
    for certificate in read_chain(path)? {
        let added = roots.add(certificate);
        added.map_err(|error| Error::Malformed(path.to_owned(), error.to_string()))?;
    }
    Ok(roots)
}

/// The first DNS name of a certificate.
pub fn dns_name(certificate: &CertificateDer<'_>) -> Option<String> {
    let (_, parsed) = X509Certificate::from_der(certificate).ok()?;
    let names = parsed.subject_alternative_name().ok()??;
    names.value.general_names.iter().find_map(|name| match name {
        GeneralName::DNSName(name) => Some((*name).to_owned()),
        _ => None,
    })
}

fn expiry_time(certificate: &CertificateDer<'_>) -> Option<SystemTime> {
    let (_, parsed) = X509Certificate::from_der(certificate).ok()?;
    let seconds = u64::try_from(parsed.validity().not_after.timestamp()).ok()?;
    Some(UNIX_EPOCH + Duration::from_secs(seconds))
}

/// Detects changed files of an [`Identity`], so that it can be reloaded without a restart.
#[derive(Debug)]
pub struct Watcher {
    files: settings::Tls,
    modified: Vec<Option<SystemTime>>,
}

impl Watcher {
    /// Detects changes of `files` from now on.
    pub fn new(files: settings::Tls) -> Watcher {
        let modified = modified_times(&files);
        Watcher { files, modified }
    }

    /// Loads the identity again if a file changed since the last call. After an error, the caller
    /// keeps the previous identity, and the files are loaded again at their next change.
    pub fn reload_if_changed(&mut self) -> Option<Result<Identity, Error>> {
        let modified = modified_times(&self.files);
        if modified == self.modified {
            return None;
        }
        self.modified = modified;
        Some(Identity::load(&self.files))
    }
}

fn modified_times(files: &settings::Tls) -> Vec<Option<SystemTime>> {
    let paths = [&files.authority, &files.certificate, &files.key];
    paths
        .iter()
        .map(|path| fs::metadata(path).and_then(|metadata| metadata.modified()).ok())
        .collect()
}
