//! Header of a database file: its check against the file's length, and its correction.
//!
//! Covers the part of the header that names the file's layout. The commits after it have checksums, which the library checks.

use std::ops::Range;

/// First bytes of a database file.
const MAGIC: [u8; 9] = *b"redb\x1a\x0a\xa9\x0d\x0a";
/// Position of the flags.
const FLAGS: usize = 9;
/// Flag: the database was not closed.
const RECOVERY_REQUIRED: u8 = 2;
const PAGE_BYTES: Range<usize> = 12..16;
const REGION_HEADER_PAGES: Range<usize> = 16..20;
const REGION_DATA_PAGES: Range<usize> = 20..24;
/// Number of regions that have all their data pages.
const FULL_REGIONS: Range<usize> = 24..28;
/// Number of data pages of the last region if it is shorter; 0 if there is none.
const LAST_REGION_DATA_PAGES: Range<usize> = 28..32;

/// Length of the header with its two commits, in bytes.
pub const HEADER_BYTES: usize = 320;

/// Result of a check.
pub enum HeaderCheck {
    /// The header names the file's length.
    Consistent,
    /// The header does not name the file's length.
    Corrected(Correction),
}

/// Correction of a header.
pub struct Correction {
    /// Header that names the file's length, and requires recovery.
    pub header: Box<[u8; HEADER_BYTES]>,
    /// False if the library would make the same correction, as after the kill of a process that had extended the file.
    pub is_required: bool,
}

/// Reason why a file is no database that recovery could open.
#[derive(Debug, thiserror::Error)]
pub enum HeaderError {
    /// The file is shorter than a header.
    #[error("it has {0} bytes, fewer than its header")]
    TooShort(u64),
    /// The file does not begin as a database.
    #[error("it is no database: its first bytes are those of another kind of file")]
    NotADatabase,
    /// The header's page size or region size is impossible.
    #[error("its header names impossible page or region sizes")]
    ImpossibleSizes,
    /// The file was closed with more bytes than it has.
    #[error("it has {found} bytes of {named}: its end is missing")]
    Truncated {
        /// Length of the file.
        found: u64,
        /// Length by its header.
        named: u64,
    },
    /// No number of pages gives this length.
    #[error(
        "it has {0} bytes, which is no length of a database: its end is missing, or other data follow it"
    )]
    ImpossibleLength(u64),
}

/// Checks the first bytes of a file against the file's length.
///
/// # Errors
/// The file is no database, or it was closed and lost its end afterwards.
pub fn check(header: &[u8], file_bytes: u64) -> Result<HeaderCheck, HeaderError> {
    let Some(header) = header.first_chunk::<HEADER_BYTES>() else {
        return Err(HeaderError::TooShort(file_bytes));
    };
    if !header.starts_with(&MAGIC) {
        return Err(HeaderError::NotADatabase);
    }
    let regions = RegionSizes::read(header).ok_or(HeaderError::ImpossibleSizes)?;
    let stored = Layout::read(header);
    let named = regions.file_bytes(&stored);
    if named == Some(file_bytes) {
        return Ok(HeaderCheck::Consistent);
    }
    let closed = header[FLAGS] & RECOVERY_REQUIRED == 0;
    if let Some(named) = named.filter(|named| closed && *named > file_bytes) {
        return Err(HeaderError::Truncated {
            found: file_bytes,
            named,
        });
    }
    let layout = regions
        .layout_of(file_bytes)
        .ok_or(HeaderError::ImpossibleLength(file_bytes))?;
    let mut corrected = Box::new(*header);
    mark_not_closed(corrected.as_mut_slice());
    corrected[FULL_REGIONS].copy_from_slice(&layout.full_regions.to_le_bytes());
    corrected[LAST_REGION_DATA_PAGES].copy_from_slice(&layout.last_region_data_pages.to_le_bytes());
    let is_extended = named.is_some_and(|named| named < file_bytes);
    Ok(HeaderCheck::Corrected(Correction {
        header: corrected,
        is_required: closed || !is_extended,
    }))
}

/// Marks a database as not closed, so that it is recovered when it is opened.
pub fn mark_not_closed(header: &mut [u8]) {
    if let Some(flags) = header.get_mut(FLAGS) {
        *flags |= RECOVERY_REQUIRED;
    }
}

fn number(header: &[u8; HEADER_BYTES], field: Range<usize>) -> u32 {
    let mut bytes = [0; size_of::<u32>()];
    bytes.copy_from_slice(&header[field]);
    u32::from_le_bytes(bytes)
}

/// Sizes that never change after the creation of a database.
struct RegionSizes {
    page_bytes: u64,
    header_pages: u64,
    data_pages: u64,
}

/// Regions of a file.
struct Layout {
    full_regions: u32,
    last_region_data_pages: u32,
}

impl Layout {
    fn read(header: &[u8; HEADER_BYTES]) -> Self {
        Layout {
            full_regions: number(header, FULL_REGIONS),
            last_region_data_pages: number(header, LAST_REGION_DATA_PAGES),
        }
    }
}

impl RegionSizes {
    /// Reads the sizes; `None` if one of them is zero.
    fn read(header: &[u8; HEADER_BYTES]) -> Option<Self> {
        let sizes = RegionSizes {
            page_bytes: number(header, PAGE_BYTES).into(),
            header_pages: number(header, REGION_HEADER_PAGES).into(),
            data_pages: number(header, REGION_DATA_PAGES).into(),
        };
        let possible = sizes.page_bytes > 0 && sizes.header_pages > 0 && sizes.data_pages > 0;
        possible.then_some(sizes)
    }

    /// Returns the length of a file with this layout; `None` if there is none, or it has no region.
    fn file_bytes(&self, layout: &Layout) -> Option<u64> {
        let full_regions = u64::from(layout.full_regions);
        let last_region_data_pages = u64::from(layout.last_region_data_pages);
        if full_regions == 0 && last_region_data_pages == 0 {
            return None;
        }
        let region_pages = self.header_pages + self.data_pages;
        let last_region_pages = match last_region_data_pages {
            0 => 0,
            data_pages => self.header_pages + data_pages,
        };
        // The first page holds the header.
        let pages = full_regions
            .checked_mul(region_pages)?
            .checked_add(1 + last_region_pages)?;
        pages.checked_mul(self.page_bytes)
    }

    /// Returns the layout of a file of this length; `None` if there is none.
    fn layout_of(&self, file_bytes: u64) -> Option<Layout> {
        let region_pages = self.header_pages + self.data_pages;
        let pages = (file_bytes / self.page_bytes).checked_sub(1)?;
        let last_region_pages = pages % region_pages;
        let layout = Layout {
            full_regions: u32::try_from(pages / region_pages).ok()?,
            last_region_data_pages: u32::try_from(
                last_region_pages.saturating_sub(self.header_pages),
            )
            .ok()?,
        };
        (self.file_bytes(&layout) == Some(file_bytes)).then_some(layout)
    }
}
