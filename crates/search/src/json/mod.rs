//! JSON read strictly: a key that is there twice is refused, as the next reader may go by the other one, and every
//! position in the text knows its path.

mod cursor;
mod value;

pub use cursor::Cursor;
pub use value::{Json, MAX_BODY_BYTES};
