//! What people read: a summary for the terminal, and one self-contained HTML page with its plots inside.

mod error;
mod page;
mod plots;
mod text;

pub use error::ReportError;
pub use page::{comparison_page, page};
pub use text::{comparison_text, summary_text, text};
