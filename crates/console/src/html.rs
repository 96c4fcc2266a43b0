//! HTML escaping and the frame of each page.

use std::fmt::{self, Display};

/// Text that is HTML-escaped by `Display`, for use in elements and in quoted attributes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Escaped<'a>(pub(crate) &'a str);

impl Display for Escaped<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for c in self.0.chars() {
            match c {
                '&' => f.write_str("&amp;")?,
                '<' => f.write_str("&lt;")?,
                '>' => f.write_str("&gt;")?,
                '"' => f.write_str("&quot;")?,
                '\'' => f.write_str("&#39;")?,
                c => write!(f, "{c}")?,
            }
        }
        Ok(())
    }
}

/// The stylesheet of all pages.
pub(crate) const STYLESHEET: &str = "\
body { font: 16px/1.5 sans-serif; margin: 0 auto; max-width: 72rem; padding: 0 1rem; color: #1a1a1a; }
nav { border-bottom: 1px solid #999; padding: .5rem 0; }
nav a { margin-right: 1rem; }
nav form { display: inline; }
table { border-collapse: collapse; margin: 1rem 0; }
th, td { border: 1px solid #bbb; padding: .25rem .5rem; text-align: left; vertical-align: top; }
input[type=password] { width: 100%; min-width: 7rem; box-sizing: border-box; }
.fault { color: #a00000; font-weight: bold; }
.faulty { outline: 2px solid #a00000; }
.notice { background: #eef3fb; border-left: 4px solid #3465a4; padding: .5rem 1rem; }
pre { background: #f4f4f4; overflow: auto; padding: 1rem; }
:focus { outline: 2px solid #3465a4; }
";

/// Renders a complete page. `title` is escaped; `navigation` and `body` are HTML.
pub(crate) fn page(title: &str, navigation: &str, body: &str) -> String {
    let title = Escaped(title);
    format!(
        "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n\
         <meta name=\"viewport\" content=\"width=device-width\">\n<title>{title} - ebonypass</title>\n\
         <link rel=\"stylesheet\" href=\"/style.css\">\n</head>\n<body>\n{navigation}\
         <main>\n<h1>{title}</h1>\n{body}</main>\n</body>\n</html>\n"
    )
}
