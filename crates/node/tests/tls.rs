//! Keys, certificates and their reload.

use std::fs;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use ebonypass_node::settings::Tls;
use ebonypass_node::tls::{self, Credentials, Identity, Watcher};
use test_case::test_case;

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("ebonypass-tls-{name}-{}", std::process::id()));
    drop(fs::remove_dir_all(&folder));
    fs::create_dir_all(&folder).expect("folder");
    folder
}

fn files(folder: &std::path::Path, authority: &Credentials, pair: &Credentials, name: &str) -> Tls {
    fs::write(folder.join(format!("{name}-authority.pem")), &authority.certificate).expect("write");
    pair.write(folder, name).expect("write");
    Tls {
        authority: folder.join(format!("{name}-authority.pem")),
        certificate: folder.join(format!("{name}.pem")),
        key: folder.join(format!("{name}.key")),
    }
}

/// Runs a handshake in memory and says which side refused.
fn shake(client: &Identity, server: &Identity, name: &str) -> Result<(), String> {
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

/// Who may talk to whom. Guards against an entry that takes work from a foreign process.
#[test_case("same", "b", Ok(()); "same authority")]
#[test_case("other", "b", Err("client"); "foreign server")]
#[test_case("same", "c", Err("client"); "wrong name")]
fn handshake(server_authority: &str, name: &str, expected: Result<(), &str>) {
    let folder = folder(&format!("handshake-{server_authority}-{name}"));
    let authority = tls::new_authority().expect("authority");
    let other = tls::new_authority().expect("authority");
    let pair = tls::issue(&authority, "a").expect("issue");
    let client = Identity::load(&files(&folder, &authority, &pair, "a")).expect("identity");
    let signer = if server_authority == "same" { &authority } else { &other };
    let pair = tls::issue(signer, "b").expect("issue");
    let server = Identity::load(&files(&folder, signer, &pair, "b")).expect("identity");
    let result = shake(&client, &server, name);
    match expected {
        Ok(()) => assert_eq!(result, Ok(())),
        Err(side) => assert!(result.clone().expect_err("refused").starts_with(side), "{result:?}"),
    }
}

/// A server refuses a client whose certificate is not of its authority.
#[test]
fn foreign_client() {
    let folder = folder("foreign-client");
    let authority = tls::new_authority().expect("authority");
    let other = tls::new_authority().expect("authority");
    let server = tls::issue(&authority, "b").expect("issue");
    let server = Identity::load(&files(&folder, &authority, &server, "b")).expect("identity");
    let client = tls::issue(&other, "a").expect("issue");
    // The client trusts the server's authority, but its own certificate is foreign.
    let client = Identity::load(&files(&folder, &authority, &client, "a")).expect("identity");
    let result = shake(&client, &server, "b");
    assert!(result.clone().expect_err("refused").starts_with("server"), "{result:?}");
}

/// A certificate past its end is refused.
#[test]
fn expired_certificate() {
    let folder = folder("expired");
    let authority = tls::new_authority().expect("authority");
    let old = tls::issue_with_lifetime(&authority, "b", Duration::ZERO).expect("issue");
    let old = Identity::load(&files(&folder, &authority, &old, "b")).expect("identity");
    let new = tls::issue(&authority, "a").expect("issue");
    let new = Identity::load(&files(&folder, &authority, &new, "a")).expect("identity");
    std::thread::sleep(Duration::from_millis(1_100));
    assert!(shake(&new, &old, "b").is_err());
    assert!(shake(&old, &new, "a").is_err());
}

/// The warning comes 14 days before the end.
#[test_case(15, false; "before")]
#[test_case(13, true; "within")]
fn expiry_warning(days: u64, expected: bool) {
    let folder = folder(&format!("expiry-{days}"));
    let authority = tls::new_authority().expect("authority");
    let life = Duration::from_secs(days * 86_400);
    let pair = tls::issue_with_lifetime(&authority, "a", life).expect("issue");
    let identity = Identity::load(&files(&folder, &authority, &pair, "a")).expect("identity");
    assert_eq!(identity.expires_soon(SystemTime::now()), expected);
}

/// Changed files are read again; broken files are an error and leave the watch working.
#[test]
fn reload() {
    let folder = folder("reload");
    let authority = tls::new_authority().expect("authority");
    let pair = tls::issue(&authority, "a").expect("issue");
    let files = files(&folder, &authority, &pair, "a");
    let mut watch = Watcher::new(files.clone());
    assert!(watch.reload_if_changed().is_none());
    // File times of some file systems have a resolution of some milliseconds.
    std::thread::sleep(Duration::from_millis(20));
    fs::write(&files.certificate, "broken").expect("write");
    assert!(watch.reload_if_changed().expect("change").is_err());
    std::thread::sleep(Duration::from_millis(20));
    let next = tls::issue(&authority, "a").expect("issue");
    fs::write(&files.certificate, &next.certificate).expect("write");
    fs::write(&files.key, &next.key).expect("write");
    assert_eq!(watch.reload_if_changed().expect("change").expect("identity").name(), "a");
}

/// A key of another certificate is found when it is loaded, not at the first handshake.
#[test]
fn mismatched_key() {
    let folder = folder("mismatch");
    let authority = tls::new_authority().expect("authority");
    let pair = tls::issue(&authority, "a").expect("issue");
    let other = tls::issue(&authority, "a").expect("issue");
    let files = files(&folder, &authority, &Credentials { key: other.key, ..pair }, "a");
    assert!(matches!(Identity::load(&files), Err(tls::Error::Config(_))));
}

/// Only the owner may read a key, and an existing key is not overwritten.
#[test]
fn key_file() {
    use std::os::unix::fs::PermissionsExt;
    let folder = folder("key-file");
    let authority = tls::new_authority().expect("authority");
    authority.write(&folder, "authority").expect("write");
    let mode = fs::metadata(folder.join("authority.key")).expect("file").permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    assert!(authority.write(&folder, "authority").is_err());
    assert_eq!(Credentials::read(&folder, "authority").expect("read"), authority);
}

proptest::proptest! {
    /// Arbitrary bytes are no certificate, and give no panic.
    #[test]
    fn arbitrary_bytes(bytes: Vec<u8>) {
        proptest::prop_assert_eq!(tls::dns_name(&bytes.into()), None);
    }
}
