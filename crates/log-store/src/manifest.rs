//! The manifest: the list of segments that make up the store. A small file that is replaced atomically.

use std::io;

use crate::disk::{Disk, read_whole};
use crate::segment::FORMAT_VERSION;

/// Name of the manifest's file.
pub const MANIFEST: &str = "MANIFEST";
/// Name under which a new manifest is written before it is renamed to [`MANIFEST`].
pub(crate) const NEW_MANIFEST: &str = "MANIFEST.new";
const MAGIC: [u8; 8] = *b"OVLOGMAN";
/// The maximum size of a manifest in bytes, far above that of any valid one.
const MAX_BYTES: u64 = 4 << 20;
/// The encoded sealed length of a segment that is not sealed.
const NOT_SEALED: u64 = u64::MAX;

/// One segment of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ManifestSegment {
    pub number: u64,
    /// The length in bytes of a sealed segment. `None` for the last segment, which is active.
    pub sealed_length: Option<u64>,
    pub is_merged: bool,
}

/// The list of segments that make up the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Manifest {
    /// Identity of the store: 8 bytes derived from its name, then 8 random bytes.
    pub identity: [u8; 16],
    /// Incremented with every manifest that is written.
    pub generation: u64,
    /// Number of the next segment to be created.
    pub next_number: u64,
    /// The segments in the order of their sequence numbers.
    pub segments: Vec<ManifestSegment>,
    /// Numbers of segments that are kept for repair and no longer belong to the store.
    pub quarantined: Vec<u64>,
}

/// Result of loading a manifest.
pub(crate) enum LoadedManifest {
    Missing,
    Valid(Manifest),
    /// The manifest cannot be read.
    Corrupt,
    /// The manifest is valid, but has this unsupported later format version.
    NewerFormat(u32),
}

impl Manifest {
    fn encode(&self) -> Vec<u8> {
        let mut out = MAGIC.to_vec();
        out.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
        out.extend_from_slice(&self.identity);
        out.extend_from_slice(&self.generation.to_le_bytes());
        out.extend_from_slice(&self.next_number.to_le_bytes());
        out.extend_from_slice(&(self.segments.len() as u32).to_le_bytes());
        out.extend_from_slice(&(self.quarantined.len() as u32).to_le_bytes());
        for segment in &self.segments {
            out.extend_from_slice(&segment.number.to_le_bytes());
            out.extend_from_slice(&segment.sealed_length.unwrap_or(NOT_SEALED).to_le_bytes());
            out.push(u8::from(segment.is_merged));
        }
        for number in &self.quarantined {
            out.extend_from_slice(&number.to_le_bytes());
        }
        let checksum = crc32c::crc32c(&out);
        out.extend_from_slice(&checksum.to_le_bytes());
        out
    }

    /// Decodes a manifest. Returns `None` if it is not valid.
    fn decode(bytes: &[u8]) -> Option<LoadedManifest> {
        let (body, checksum) = bytes.split_last_chunk::<4>()?;
        if crc32c::crc32c(body) != u32::from_le_bytes(*checksum) {
            return None;
        }
        let mut rest = body.strip_prefix(&MAGIC)?;
        let version = u32::from_le_bytes(*take(&mut rest)?);
        if version != FORMAT_VERSION {
            return Some(LoadedManifest::NewerFormat(version));
        }
        let identity = *take(&mut rest)?;
        let (generation, next_number) = (take_u64(&mut rest)?, take_u64(&mut rest)?);
        let segment_count = u32::from_le_bytes(*take(&mut rest)?);
        let quarantined_count = u32::from_le_bytes(*take(&mut rest)?);
        let mut segments = Vec::new();
        for _ in 0..segment_count {
            let (number, sealed_length) = (take_u64(&mut rest)?, take_u64(&mut rest)?);
            let [is_merged] = *take::<1>(&mut rest)?;
            segments.push(ManifestSegment {
                number,
                sealed_length: (sealed_length != NOT_SEALED).then_some(sealed_length),
                is_merged: is_merged == 1,
            });
        }
        let quarantined = (0..quarantined_count).map(|_| take_u64(&mut rest));
        let quarantined = quarantined.collect::<Option<Vec<u64>>>()?;
        Some(LoadedManifest::Valid(Manifest { identity, generation, next_number, segments, quarantined }))
    }

    /// Loads the manifest of a directory.
    pub fn load(disk: &dyn Disk) -> io::Result<LoadedManifest> {
        let file = match disk.open(MANIFEST) {
            Ok(file) => file,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(LoadedManifest::Missing),
            Err(error) => return Err(error),
        };
        let Ok(bytes) = read_whole(&*file, MAX_BYTES) else { return Ok(LoadedManifest::Corrupt) };
        Ok(Manifest::decode(&bytes).unwrap_or(LoadedManifest::Corrupt))
    }

    /// Replaces the manifest of a directory atomically and durably. The segments that it lists must already be durable.
    pub fn replace(&self, disk: &dyn Disk) -> io::Result<()> {
        let file = disk.create(NEW_MANIFEST)?;
        file.write_at(0, &self.encode())?;
        file.sync()?;
        disk.rename(NEW_MANIFEST, MANIFEST)?;
        disk.sync_names()
    }
}

/// Takes the first `N` bytes off `rest`. Returns `None` if it is shorter.
fn take<'a, const N: usize>(rest: &mut &'a [u8]) -> Option<&'a [u8; N]> {
    let (first, after) = rest.split_first_chunk::<N>()?;
    *rest = after;
    Some(first)
}

fn take_u64(rest: &mut &[u8]) -> Option<u64> {
    take(rest).map(|bytes| u64::from_le_bytes(*bytes))
}
