//! `ebonypass keys`: creates an authority and issues certificates.

use ebonypass_node::tls::{self, Credentials};

use crate::exit::{Exit, Failure};
use crate::{Issue, NewAuthority};

/// File stem of the authority's certificate and key.
const AUTHORITY_STEM: &str = "authority";

/// Creates an authority. Never overwrites one, because every issued certificate depends on it.
pub fn new_authority(command: &NewAuthority) -> Result<Exit, Failure> {
    let folder = &command.folder;
    let path = folder.join(AUTHORITY_STEM).with_extension("key");
    if path.exists() {
        return Err(Failure::new(Exit::Refused, format!("{} exists already", path.display())));
    }
    std::fs::create_dir_all(folder).map_err(|error| Failure::from_file_error(folder, error))?;
    write_pair(tls::new_authority(), folder, AUTHORITY_STEM)
}

/// Issues a certificate for an entry.
pub fn issue(command: &Issue) -> Result<Exit, Failure> {
    let authority = Credentials::read(&command.folder, AUTHORITY_STEM)
        .map_err(|error| Failure::from_file_error(&command.folder, error))?;
    write_pair(tls::issue(&authority, &command.name), &command.folder, &command.name)
}

/// Writes a certificate and its key to `folder`.
fn write_pair(
    credentials: Result<Credentials, tls::Error>,
    folder: &std::path::Path,
    stem: &str,
) -> Result<Exit, Failure> {
    let written = credentials.and_then(|credentials| credentials.write(folder, stem));
    written.map_err(|error| Failure::from_file_error(folder, error))?;
    println!("wrote {stem}.pem and {stem}.key to {}", folder.display());
    Ok(Exit::Done)
}
