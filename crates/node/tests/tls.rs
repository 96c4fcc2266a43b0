//! Issuing, loading and reloading keys and certificates.

use std::fs;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use ebonypass_node::settings::Tls;
use ebonypass_node::tls::{self, Credentials, Identity, Watcher};
use test_case::test_case;

fn temp_dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("ebonypass-tls-{name}-{}", std::process::id()));
    drop(fs::remove_dir_all(&dir));
    fs::create_dir_all(&dir).expect("create directory");
    dir
}

fn files(
    dir: &std::path::Path,
    authority: &Credentials,
    credentials: &Credentials,
    name: &str,
) -> Tls {
    fs::write(dir.join(format!("{name}-authority.pem")), &authority.certificate).expect("write");
    credentials.write(dir, name).expect("write");
    Tls {
        authority: dir.join(format!("{name}-authority.pem")),
        certificate: dir.join(format!("{name}.pem")),
        key: dir.join(format!("{name}.key")),
    }
}

/// Runs a handshake in memory. The error names the side that refused.
fn run_handshake(client: &Identity, server: &Identity, name: &str) -> Result<(), String> {
    let client = Arc::new(client.client_config().expect("client"));
    let server = Arc::new(server.server_config().expect("server"));
    let name = name.to_owned().try_into().expect("name");
    let mut client = rustls::ClientConnection::new(client, name).expect("connection");
    let mut server = rustls::ServerConnection::new(server).expect("connection");
    while client.is_handshaking() || server.is_handshaking() {
        let mut bytes = Vec::new();
        client.write_tls(&mut bytes).expect("write");
        server.read_tls(&mut bytes.as_slice()).expect("read");
        server.process_new_packets().map_err(|error| format!("server: {error}"))?;
        let mut bytes = Vec::new();
        server.write_tls(&mut bytes).expect("write");
        client.read_tls(&mut bytes.as_slice()).expect("read");
        client.process_new_packets().map_err(|error| format!("client: {error}"))?;
    }
    Ok(())
}

/// A client accepts only a server of its authority with the expected name. Guards against an entry
/// that trusts a foreign process.
#[test_case("same", "b", Ok(()); "same authority")]
#[test_case("other", "b", Err("client"); "foreign server")]
#[test_case("same", "c", Err("client"); "wrong name")]
fn handshake(server_authority: &str, name: &str, expected: Result<(), &str>) {
    let dir = temp_dir(&format!("handshake-{server_authority}-{name}"));
    let authority = tls::new_authority().expect("authority");
    let other = tls::new_authority().expect("authority");
    let credentials = tls::issue(&authority, "a").expect("issue");
    let client = Identity::load(&files(&dir, &authority, &credentials, "a")).expect("identity");
    let signer = if server_authority == "same" { &authority } else { &other };
    let credentials = tls::issue(signer, "b").expect("issue");
    let server = Identity::load(&files(&dir, signer, &credentials, "b")).expect("identity");
    let result = run_handshake(&client, &server, name);
    match expected {
        Ok(()) => assert_eq!(result, Ok(())),
        Err(side) => assert!(result.clone().expect_err("refused").starts_with(side), "{result:?}"),
    }
}

/// A server refuses a client whose certificate another authority issued.
#[test]
fn foreign_client() {
    let dir = temp_dir("foreign-client");
    let authority = tls::new_authority().expect("authority");
    let other = tls::new_authority().expect("authority");
    let server = tls::issue(&authority, "b").expect("issue");
    let server = Identity::load(&files(&dir, &authority, &server, "b")).expect("identity");
    let client = tls::issue(&other, "a").expect("issue");
    // The client trusts the server's authority, but another authority issued its certificate.
    let client = Identity::load(&files(&dir, &authority, &client, "a")).expect("identity");
    let result = run_handshake(&client, &server, "b");
    assert!(result.clone().expect_err("refused").starts_with("server"), "{result:?}");
}

/// An expired certificate is refused on both sides.
#[test]
fn expired_certificate() {
    let dir = temp_dir("expired");
    let authority = tls::new_authority().expect("authority");
    let old = tls::issue_with_lifetime(&authority, "b", Duration::ZERO).expect("issue");
    let old = Identity::load(&files(&dir, &authority, &old, "b")).expect("identity");
    let new = tls::issue(&authority, "a").expect("issue");
    let new = Identity::load(&files(&dir, &authority, &new, "a")).expect("identity");
    std::thread::sleep(Duration::from_millis(1_100));
    assert!(run_handshake(&new, &old, "b").is_err());
    assert!(run_handshake(&old, &new, "a").is_err());
}

/// The expiry warning starts 14 days before the certificate expires.
#[test_case(15, false; "before")]
#[test_case(13, true; "within")]
fn expiry_warning(days: u64, expected: bool) {
    let dir = temp_dir(&format!("expiry-{days}"));
    let authority = tls::new_authority().expect("authority");
    let lifetime = Duration::from_secs(days * 86_400);
    let credentials = tls::issue_with_lifetime(&authority, "a", lifetime).expect("issue");
    let identity = Identity::load(&files(&dir, &authority, &credentials, "a")).expect("identity");
    assert_eq!(identity.expires_soon(SystemTime::now()), expected);
}

/// Changed files are loaded again. Malformed files give an error, and later changes still load.
#[test]
fn reload() {
    let dir = temp_dir("reload");
    let authority = tls::new_authority().expect("authority");
    let credentials = tls::issue(&authority, "a").expect("issue");
    let files = files(&dir, &authority, &credentials, "a");
    let mut watcher = Watcher::new(files.clone());
    assert!(watcher.reload_if_changed().is_none());
    // Some file systems store modification times with a resolution of some milliseconds.
    std::thread::sleep(Duration::from_millis(20));
    fs::write(&files.certificate, "broken").expect("write");
    assert!(watcher.reload_if_changed().expect("change").is_err());
    std::thread::sleep(Duration::from_millis(20));
    let next = tls::issue(&authority, "a").expect("issue");
    fs::write(&files.certificate, &next.certificate).expect("write");
    fs::write(&files.key, &next.key).expect("write");
    assert_eq!(watcher.reload_if_changed().expect("change").expect("identity").name(), "a");
}

/// A key that does not match the certificate is detected on loading, not at the first handshake.
#[test]
fn mismatched_key() {
    let dir = temp_dir("mismatch");
    let authority = tls::new_authority().expect("authority");
    let credentials = tls::issue(&authority, "a").expect("issue");
    let other = tls::issue(&authority, "a").expect("issue");
    let files = files(&dir, &authority, &Credentials { key: other.key, ..credentials }, "a");
    assert!(matches!(Identity::load(&files), Err(tls::Error::Config(_))));
}

/// Only the owner may read a key, and an existing key is not overwritten.
#[test]
fn key_file() {
    use std::os::unix::fs::PermissionsExt;
    let dir = temp_dir("key-file");
    let authority = tls::new_authority().expect("authority");
    authority.write(&dir, "authority").expect("write");
    let mode = fs::metadata(dir.join("authority.key")).expect("file").permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    assert!(authority.write(&dir, "authority").is_err());
    assert_eq!(Credentials::read(&dir, "authority").expect("read"), authority);
}

proptest::proptest! {
    /// Arbitrary bytes give no name, never a panic.
    #[test]
    fn arbitrary_bytes(bytes: Vec<u8>) {
        proptest::prop_assert_eq!(tls::dns_name(&bytes.into()), None);
    }
}
