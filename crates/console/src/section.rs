//! The sections of a policy document and the columns of their tables in the forms.

/// How the text of a field is converted to TOML.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Input {
    /// A string.
    Text,
    /// An integer.
    Number,
    /// `true` or `false`.
    Boolean,
    /// A list of names, separated by commas.
    NameList,
    /// The number of targets by data centre, as in `zurich-1 = 2, zurich-2 = 2`.
    Placement,
    /// A date and time with a UTC offset.
    Time,
    /// One of several keys; the text of the next column is written under the chosen key.
    Choice(&'static [&'static str]),
    /// The name of the service to which the row belongs. It is not written, because the row becomes
    /// a subtable of the service.
    Parent,
}

/// A column of a section's table.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Column {
    /// The key in the document.
    pub(crate) name: &'static str,
    /// The label in the form.
    pub(crate) label: &'static str,
    /// How the text is converted to TOML.
    pub(crate) input: Input,
}

/// A section of the document, shown as one table.
#[derive(Debug)]
pub(crate) struct Section {
    /// The name of the TOML table, also part of the path of its form.
    pub(crate) name: &'static str,
    /// The title of its page.
    pub(crate) title: &'static str,
    /// An explanation of the rows.
    pub(crate) help: &'static str,
    /// The columns of its table.
    pub(crate) columns: &'static [Column],
}

const fn column(name: &'static str, label: &'static str, input: Input) -> Column {
    Column { name, label, input }
}

/// Index of the shift limits, which have exactly one row.
pub(crate) const SHIFT_LIMIT: usize = 0;
/// Index of the services.
pub(crate) const SERVICE: usize = 5;
/// Index of the kinds of request.
pub(crate) const KIND: usize = 6;
/// Index of the shifts.
pub(crate) const SHIFT: usize = 7;
/// Index of the drains.
pub(crate) const DRAIN: usize = 8;

/// All sections, in the order of the document.
pub(crate) const SECTIONS: [Section; 10] = [
    Section {
        name: "shift",
        title: "Shift limits",
        help: "Limits on how fast traffic may move between regions.",
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
        help: "Each data centre belongs to one region.",
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
            column("members", "Members", Input::NameList),
            column("slots", "Slots per target", Input::Number),
            column("connections", "Connections per target", Input::Number),
            column("targets", "Targets by data centre", Input::Placement),
        ],
    },
    Section {
        name: "service.kind",
        title: "Kinds",
        help: "Kinds of request. A request that is not idempotent runs at most once.",
        columns: &[
            column("service", "Service", Input::Parent),
            column("name", "Name", Input::Text),
            column("idempotent", "Idempotent", Input::Boolean),
            column("deadline_ms", "Deadline (ms)", Input::Number),
        ],
    },
    Section {
        name: "service.shift",
        title: "Shifts",
        help: "Share of a region's traffic for a service that is sent to another region.",
        columns: &[
            column("service", "Service", Input::Parent),
            column("from", "From region", Input::Text),
            column("to", "To region", Input::Text),
            column("percent", "Share (%)", Input::Number),
        ],
    },
    Section {
        name: "drain",
        title: "Planned drains",
        help: "Periods without new requests. Times are written as 2026-12-05T02:00:00Z.",
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

/// Returns the index of the section called `name`.
pub(crate) fn position(name: &str) -> Option<usize> {
    SECTIONS.iter().position(|section| section.name == name)
}
