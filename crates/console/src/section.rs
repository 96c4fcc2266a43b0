//! The parts of a policy document as tables of text fields.

/// How a field's text becomes TOML.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Input {
    /// A string.
    Text,
    /// A whole number.
    Number,
    /// `true` or `false`.
    Flag,
    /// Names, separated by commas.
    Names,
    /// Numbers of targets by data centre, as in `zurich-1 = 2, zurich-2 = 2`.
    Placement,
    /// A date and time with offset.
    Time,
    /// The key that the next field's text belongs to.
    Choice(&'static [&'static str]),
    /// The service whose part the row is. It is not written.
    Parent,
}

/// One field of each row.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Column {
    /// The key in the document.
    pub(crate) name: &'static str,
    /// What operators read.
    pub(crate) label: &'static str,
    /// How the text becomes TOML.
    pub(crate) input: Input,
}

/// One part of the document.
#[derive(Debug)]
pub(crate) struct Section {
    /// The header in the document.
    pub(crate) name: &'static str,
    /// What operators read.
    pub(crate) title: &'static str,
    /// What a row means.
    pub(crate) help: &'static str,
    /// Fields of a row.
    pub(crate) columns: &'static [Column],
}

const fn column(name: &'static str, label: &'static str, input: Input) -> Column {
    Column { name, label, input }
}

/// Position of the shift limits.
pub(crate) const LIMIT: usize = 0;
/// Position of the services.
pub(crate) const SERVICE: usize = 5;
/// Position of the kinds.
pub(crate) const KIND: usize = 6;
/// Position of the shifts.
pub(crate) const SHIFT: usize = 7;
/// Position of the drains.
pub(crate) const DRAIN: usize = 8;

/// Every section, in the order of the document.
pub(crate) const SECTIONS: [Section; 10] = [
    Section {
        name: "shift",
        title: "Shift limits",
        help: "How fast traffic may move between regions.",
        columns: &[
            column("max_step_percent", "Largest step (%)", Input::Number),
            column("step_interval_s", "Shortest time between steps (s)", Input::Number),
        ],
    },
    Section {
        name: "member",
        title: "Members",
        help: "Companies that use the system.",
        columns: &[column("name", "Name", Input::Text)],
    },
    Section {
        name: "region",
        title: "Regions",
        help: "Groups of data centres that are close to each other.",
        columns: &[
            column("name", "Name", Input::Text),
            column("seats", "Seats (1 to 64)", Input::Number),
        ],
    },
    Section {
        name: "data_centre",
        title: "Data centres",
        help: "Each lies in one region.",
        columns: &[column("name", "Name", Input::Text), column("region", "Region", Input::Text)],
    },
    Section {
        name: "link",
        title: "Links",
        help: "One row for each direction between two regions.",
        columns: &[
            column("from", "From region", Input::Text),
            column("to", "To region", Input::Text),
            column("cap_mbit", "Cap (Mbit/s)", Input::Number),
            column("delay_us", "Latency one way (µs)", Input::Number),
        ],
    },
    Section {
        name: "service",
        title: "Services",
        help: "Members are separated by commas; targets are written as zurich-1 = 2, zurich-2 = 2.",
        columns: &[
            column("name", "Name", Input::Text),
            column("members", "Members", Input::Names),
            column("slots", "Slots per target", Input::Number),
            column("connections", "Connections per target", Input::Number),
            column("targets", "Targets by data centre", Input::Placement),
        ],
    },
    Section {
        name: "service.kind",
        title: "Kinds",
        help: "Kinds of work. Work that is not idempotent runs at most once.",
        columns: &[
            column("service", "Service", Input::Parent),
            column("name", "Name", Input::Text),
            column("idempotent", "Idempotent", Input::Flag),
            column("deadline_ms", "Deadline (ms)", Input::Number),
        ],
    },
    Section {
        name: "service.shift",
        title: "Shifts",
        help: "Part of a region's traffic for a service that another region serves.",
        columns: &[
            column("service", "Service", Input::Parent),
            column("from", "From region", Input::Text),
            column("to", "To region", Input::Text),
            column("percent", "Part (%)", Input::Number),
        ],
    },
    Section {
        name: "drain",
        title: "Planned drains",
        help: "Times without new work, written as 2026-12-05T02:00:00Z.",
        columns: &[
            column("subject", "Drained is a", Input::Choice(&["data_centre", "target"])),
            column("name", "Name", Input::Text),
            column("from", "From", Input::Time),
            column("until", "Until", Input::Time),
        ],
    },
    Section {
        name: "block",
        title: "Client blocks",
        help: "IPv4 networks of /8 to /24 and their closest data centre. The longest match wins.",
        columns: &[
            column("cidr", "Network", Input::Text),
            column("data_centre", "Data centre", Input::Text),
        ],
    },
];

/// The position of the section called `name`.
pub(crate) fn find(name: &str) -> Option<usize> {
    SECTIONS.iter().position(|section| section.name == name)
}
