//! `ebonypass check`: validates a policy document.

use std::path::Path;

use ebonypass_core::fault::Fault;
use ebonypass_core::scan::scan_document;

use crate::Check;
use crate::exit::{Exit, Failure};

/// Prints every fault of a document.
pub fn run(command: &Check) -> Result<Exit, Failure> {
    let text = read_file(&command.file)?;
    let faults = scan_document(&text).err().unwrap_or_default();
    if command.json {
        println!("{}", faults_to_json(&faults));
    } else if faults.is_empty() {
        println!("{}: no fault", command.file.display());
    } else {
        print_faults(&command.file, &faults);
    }
    Ok(if faults.is_empty() { Exit::Done } else { Exit::Refused })
}

/// Reads a text file.
pub fn read_file(path: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(path).map_err(|error| Failure::from_file_error(path, error))
}

/// Reads a policy document and validates it. Returns its text, or prints its faults and fails.
pub fn read_valid_document(path: &Path) -> Result<String, Failure> {
    let text = read_file(path)?;
    match scan_document(&text) {
        Ok(_) => Ok(text),
        Err(faults) => {
            print_faults(path, &faults);
            let message = format!("the document has {} fault(s) and was not used", faults.len());
            Err(Failure::new(Exit::Refused, message))
        }
    }
}

/// Prints one fault per line as `path:line: message`, which editors recognise as a location.
pub fn print_faults(path: &Path, faults: &[Fault]) {
    for fault in faults {
        eprintln!("{}:{}: {}", path.display(), fault.line, fault);
    }
}

fn faults_to_json(faults: &[Fault]) -> serde_json::Value {
    let faults = faults.iter().map(|fault| {
        serde_json::json!({
            "line": fault.line,
            "code": format!("EP-{:04}", fault.code.number()),
            "message": fault.message,
            "hint": fault.hint,
        })
    });
    serde_json::json!({ "faults": faults.collect::<Vec<_>>() })
}
