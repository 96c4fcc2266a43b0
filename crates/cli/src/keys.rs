//! `ebonypass keys`.

use ebonypass_node::tls::{self, Credentials};

use crate::exit::{Exit, Failure};
use crate::{Issue, NewAuthority};

/// File stem of the authority's certificate and key.
const AUTHORITY: &str = "authority";

/// Makes a new authority. An existing one is kept, because every certificate depends on it.
pub fn new_authority(command: &NewAuthority) -> Result<Exit, Failure> {
    let folder = &command.folder;
    let path = folder.join(AUTHORITY).with_extension("key");
    if path.exists() {
        return Err(Failure::new(Exit::Refused, format!("{} exists already", path.display())));
    }
    std::fs::create_dir_all(folder).map_err(|error| Failure::file(folder, error))?;
    write(tls::new_authority(), folder, AUTHORITY)
}

/// Issues a certificate for an entry.
pub fn issue(command: &Issue) -> Result<Exit, Failure> {
    let authority = Credentials::read(&command.folder, AUTHORITY)
        .map_err(|error| Failure::file(&command.folder, error))?;
    write(tls::issue(&authority, &command.name), &command.folder, &command.name)
}

fn write(
    pair: Result<Credentials, tls::Error>,
    folder: &std::path::Path,
    stem: &str,
) -> Result<Exit, Failure> {
    let written = pair.and_then(|pair| pair.write(folder, stem));
    written.map_err(|error| Failure::file(folder, error))?;
    println!("wrote {stem}.pem and {stem}.key to {}", folder.display());
    Ok(Exit::Done)
}
