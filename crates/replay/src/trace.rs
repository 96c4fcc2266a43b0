//! Traces in JSON Lines format, one record per line, ordered by time (docs/design.md, section 5.6).

use std::collections::HashSet;
use std::fmt;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::path::Path;

use anyhow::Context;
use ebonypass_core::id::{CentreId, KindId, MemberId, ServiceId, TargetId};
use ebonypass_core::policy::Document;
use ebonypass_core::time::{Instant, Span};
use serde::{Deserialize, Serialize};

/// A line of a trace file. Exactly one of the optional fields is present.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Line {
    /// Microseconds from the start of the trace.
    pub at_us: u64,
    /// A client sends a request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub arrive: Option<ArriveLine>,
    /// A target is slow for some time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slow: Option<SlowLine>,
    /// A target starts to leave.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leave: Option<LeaveLine>,
    /// A data centre is down for some time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fail: Option<FailLine>,
    /// A source of measurements is silent for some time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub silence: Option<SilenceLine>,
}

/// The `arrive` record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[expect(missing_docs, reason = "the fields are those of the trace format")]
pub struct ArriveLine {
    pub id: u64,
    pub member: String,
    pub service: String,
    pub kind: String,
    pub dc: String,
    pub service_us: u64,
    pub request_bytes: u64,
    pub reply_bytes: u64,
    pub deadline_us: u64,
    pub idempotent: bool,
}

/// The `slow` record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[expect(missing_docs, reason = "the fields are those of the trace format")]
pub struct SlowLine {
    pub target: String,
    pub factor: f64,
    pub for_us: u64,
}

/// The `leave` record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[expect(missing_docs, reason = "the fields are those of the trace format")]
pub struct LeaveLine {
    pub target: String,
}

/// The `fail` record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[expect(missing_docs, reason = "the fields are those of the trace format")]
pub struct FailLine {
    pub dc: String,
    pub for_us: u64,
}

/// The `silence` record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[expect(missing_docs, reason = "the fields are those of the trace format")]
pub struct SilenceLine {
    pub source: Source,
    pub for_us: u64,
}

/// A source of measurements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// Load reports of the targets.
    Load,
    /// The list of live and leaving VMs.
    Vms,
}

/// A trace whose names are resolved against a policy document.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Trace {
    /// Requests in the order of arrival. The model identifies a request by its index.
    pub arrivals: Vec<Arrival>,
    /// Incidents of targets, data centres and sources, ordered by time.
    pub incidents: Vec<(Instant, Incident)>,
}

/// A request that a client sends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival {
    /// When the client sends the request.
    pub at: Instant,
    /// The calling member.
    pub member: MemberId,
    /// The called service.
    pub service: ServiceId,
    /// The kind of request.
    pub kind: KindId,
    /// The data centre closest to the client.
    pub centre: CentreId,
    /// Service time at a healthy target.
    pub service_time: Span,
    /// Size of the request in bytes.
    pub request_bytes: u64,
    /// Size of the complete answer in bytes.
    pub reply_bytes: u64,
    /// Latest time at which the answer is useful to the client.
    pub deadline: Instant,
    /// Whether the request may run more than once.
    pub idempotent: bool,
}

/// A fault or a change of the system.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Incident {
    /// The target is slow.
    Slow {
        /// The target.
        target: TargetId,
        /// Multiple of the healthy service time.
        factor: f64,
        /// For how long.
        duration: Span,
    },
    /// The target finishes the attempts that it holds and refuses new ones.
    Leave(TargetId),
    /// The targets and entries of the data centre are down.
    Fail {
        /// The data centre.
        centre: CentreId,
        /// For how long.
        duration: Span,
    },
    /// The source delivers no measurements.
    Silence {
        /// The source.
        source: Source,
        /// For how long.
        duration: Span,
    },
}

/// An invalid line of a trace.
#[derive(Debug, Clone, PartialEq)]
pub struct InvalidLine {
    /// Line number from 1.
    pub number: usize,
    /// Why the line is invalid.
    pub reason: String,
}

impl fmt::Display for InvalidLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.number, self.reason)
    }
}

/// Reads a trace from `lines`. Fails with all invalid lines if there are any.
pub fn scan_trace(document: &Document, lines: impl BufRead) -> Result<Trace, Vec<InvalidLine>> {
    let mut scanner =
        Scanner { document, trace: Trace::default(), ids: HashSet::new(), last_at: Instant::ZERO };
    let mut invalid_lines = Vec::new();
    for (index, line) in lines.lines().enumerate() {
        let result =
            line.map_err(|error| error.to_string()).and_then(|line| scanner.scan_line(&line));
        if let Err(reason) = result {
            invalid_lines.push(InvalidLine { number: index + 1, reason });
        }
    }
    if invalid_lines.is_empty() { Ok(scanner.trace) } else { Err(invalid_lines) }
}

/// Resolves generated `lines`. Fails with all invalid lines if there are any.
pub fn resolve_lines<'a>(
    document: &Document,
    lines: impl IntoIterator<Item = &'a Line>,
) -> Result<Trace, Vec<InvalidLine>> {
    let mut scanner =
        Scanner { document, trace: Trace::default(), ids: HashSet::new(), last_at: Instant::ZERO };
    let mut invalid_lines = Vec::new();
    for (index, line) in lines.into_iter().enumerate() {
        if let Err(reason) = scanner.add_line(line) {
            invalid_lines.push(InvalidLine { number: index + 1, reason });
        }
    }
    if invalid_lines.is_empty() { Ok(scanner.trace) } else { Err(invalid_lines) }
}

/// Opens a trace file, decompressing it if its name ends in `.gz`.
pub fn open_trace(path: &Path) -> anyhow::Result<Box<dyn BufRead>> {
    let file = File::open(path).with_context(|| format!("cannot open {}", path.display()))?;
    let reader: Box<dyn Read> = if path.extension().is_some_and(|extension| extension == "gz") {
        Box::new(flate2::read::MultiGzDecoder::new(file))
    } else {
        Box::new(file)
    };
    Ok(Box::new(BufReader::new(reader)))
}

/// Writes `lines` to a file, compressed if its name ends in `.gz`.
pub fn write_trace(path: &Path, lines: &[Line]) -> anyhow::Result<()> {
    let file = File::create(path).with_context(|| format!("cannot create {}", path.display()))?;
    if path.extension().is_some_and(|extension| extension == "gz") {
        let mut encoder = flate2::write::GzEncoder::new(file, flate2::Compression::best());
        write_lines(&mut encoder, lines)?;
        encoder.finish()?;
    } else {
        write_lines(&mut std::io::BufWriter::new(file), lines)?;
    }
    Ok(())
}

fn write_lines(out: &mut impl Write, lines: &[Line]) -> anyhow::Result<()> {
    for line in lines {
        serde_json::to_writer(&mut *out, line)?;
        out.write_all(b"\n")?;
    }
    out.flush()?;
    Ok(())
}

impl Trace {
    /// Returns the time of the last arrival, the end of the interval over which utilisation is
    /// measured.
    pub fn end(&self) -> Instant {
        self.arrivals.last().map_or(Instant::ZERO, |arrival| arrival.at)
    }

    /// Removes the requests whose kind is called `name`.
    pub fn without_kind(mut self, document: &Document, name: &str) -> Trace {
        self.arrivals.retain(|arrival| document.kinds[arrival.kind].name != name);
        self
    }

    /// Removes the `slow` records.
    pub fn without_slow(mut self) -> Trace {
        self.incidents.retain(|(_, incident)| !matches!(incident, Incident::Slow { .. }));
        self
    }
}

struct Scanner<'a> {
    document: &'a Document,
    trace: Trace,
    ids: HashSet<u64>,
    last_at: Instant,
}

impl Scanner<'_> {
    fn scan_line(&mut self, text: &str) -> Result<(), String> {
        let line: Line = serde_json::from_str(text).map_err(|error| error.to_string())?;
        self.add_line(&line)
    }

    fn add_line(&mut self, line: &Line) -> Result<(), String> {
        let at = Instant::from_micros(line.at_us);
        if at < self.last_at {
            return Err(format!(
                "at_us {} is earlier than the record before it ({})",
                line.at_us,
                self.last_at.as_micros()
            ));
        }
        let (arrival, incident) = self.resolve(at, line)?;
        self.last_at = at;
        self.trace.arrivals.extend(arrival);
        self.trace.incidents.extend(incident.map(|incident| (at, incident)));
        Ok(())
    }

    fn resolve(
        &mut self,
        at: Instant,
        line: &Line,
    ) -> Result<(Option<Arrival>, Option<Incident>), String> {
        match line {
            Line {
                arrive: Some(arrive),
                slow: None,
                leave: None,
                fail: None,
                silence: None,
                ..
            } => Ok((Some(self.resolve_arrival(at, arrive)?), None)),
            Line {
                arrive: None, slow: Some(slow), leave: None, fail: None, silence: None, ..
            } => {
                if !(slow.factor.is_finite() && slow.factor > 0.0) {
                    return Err(format!("factor {} is not a positive number", slow.factor));
                }
                let target = self.resolve_target(&slow.target)?;
                let duration = Span::from_micros(slow.for_us);
                Ok((None, Some(Incident::Slow { target, factor: slow.factor, duration })))
            }
            Line {
                arrive: None,
                slow: None,
                leave: Some(leave),
                fail: None,
                silence: None,
                ..
            } => Ok((None, Some(Incident::Leave(self.resolve_target(&leave.target)?)))),
            Line {
                arrive: None, slow: None, leave: None, fail: Some(fail), silence: None, ..
            } => {
                let centre = self.resolve_centre(&fail.dc)?;
                let duration = Span::from_micros(fail.for_us);
                Ok((None, Some(Incident::Fail { centre, duration })))
            }
            Line {
                arrive: None,
                slow: None,
                leave: None,
                fail: None,
                silence: Some(silence),
                ..
            } => {
                let duration = Span::from_micros(silence.for_us);
                Ok((None, Some(Incident::Silence { source: silence.source, duration })))
            }
            _ => {
                Err("a record must have exactly one of arrive, slow, leave, fail, silence"
                    .to_owned())
            }
        }
    }

    fn resolve_arrival(&mut self, at: Instant, arrive: &ArriveLine) -> Result<Arrival, String> {
        let document = self.document;
        let member = document
            .member(&arrive.member)
            .ok_or_else(|| format!("no member is called \"{}\"", arrive.member))?;
        let service = document
            .service(&arrive.service)
            .ok_or_else(|| format!("no service is called \"{}\"", arrive.service))?;
        let kind = document.kind(service, &arrive.kind).ok_or_else(|| {
            format!("service \"{}\" has no kind \"{}\"", arrive.service, arrive.kind)
        })?;
        if !document.services[service].members.contains(&member) {
            return Err(format!(
                "member \"{}\" may not call \"{}\"",
                arrive.member, arrive.service
            ));
        }
        if document.kinds[kind].idempotent != arrive.idempotent {
            return Err(format!(
                "idempotent is {}, but {} in the policy",
                arrive.idempotent, document.kinds[kind].idempotent
            ));
        }
        if arrive.service_us == 0 {
            return Err("service_us must be positive".to_owned());
        }
        let centre = self.resolve_centre(&arrive.dc)?;
        if !self.ids.insert(arrive.id) {
            return Err(format!("id {} appears twice", arrive.id));
        }
        Ok(Arrival {
            at,
            member,
            service,
            kind,
            centre,
            service_time: Span::from_micros(arrive.service_us),
            request_bytes: arrive.request_bytes,
            reply_bytes: arrive.reply_bytes,
            deadline: at + Span::from_micros(arrive.deadline_us),
            idempotent: arrive.idempotent,
        })
    }

    fn resolve_centre(&self, name: &str) -> Result<CentreId, String> {
        self.document.centre(name).ok_or_else(|| format!("no data centre is called \"{name}\""))
    }

    /// Returns the target called `name`. A number beyond the number of targets in the policy wraps
    /// around, so that a trace can be replayed against a policy with fewer targets.
    fn resolve_target(&self, name: &str) -> Result<TargetId, String> {
        let document = self.document;
        let unknown_target = || format!("no target is called \"{name}\"");
        let (prefix, number) = name.rsplit_once('-').ok_or_else(unknown_target)?;
        let number: usize = number.parse().map_err(|_| unknown_target())?;
        let same_prefix: Vec<TargetId> = document
            .targets
            .iter()
            .filter(|(_, target)| {
                target.name.rsplit_once('-').is_some_and(|(other, _)| other == prefix)
            })
            .map(|(key, _)| key)
            .collect();
        if same_prefix.is_empty() || number == 0 {
            return Err(unknown_target());
        }
        Ok(same_prefix[(number - 1) % same_prefix.len()])
    }
}
