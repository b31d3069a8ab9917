//! Speed bands: groups of endpoints of similar speed, by which the fastest open endpoint is found without a scan.
//!
//! Endpoints of one band count as equally fast. An endpoint is open if it may receive requests now, which
//! `availability` decides.

/// Number of bands.
const BAND_COUNT: usize = 48;
/// Ratio of speeds between adjacent bands; smaller differences are noise.
const BAND_RATIO: f64 = 1.2;
/// Minimum cost of an endpoint whose logarithm is taken.
const MIN_COST: f64 = 1e-9;
/// Sum of slots below which only rounding errors remain.
const SLOT_RESIDUE: f64 = 1e-6;

/// Endpoints by speed band.
pub(crate) struct SpeedBands {
    bands: Vec<Band>,
    bands_per_ln: f64,
    entries: Vec<EndpointEntry>,
}

/// Speed band.
#[derive(Default)]
pub(crate) struct Band {
    /// Speed relative to the mean of all endpoints.
    pub speed: f64,
    /// Indices of the open endpoints.
    pub open: Vec<u32>,
    /// Own slots of this proxy at endpoints of the band.
    pub slots: f64,
}

/// Contribution of an endpoint to the bands.
#[derive(Clone, Default)]
struct EndpointEntry {
    slot_band: usize,
    slots: f64,
    open_at: Option<OpenPosition>,
}

/// Position of an open endpoint in its band.
#[derive(Clone, Copy)]
struct OpenPosition {
    band: usize,
    position: usize,
}

impl SpeedBands {
    /// Creates empty bands, ordered from the fastest to the slowest.
    pub fn new() -> Self {
        let middle = BAND_COUNT as f64 / 2.0;
        let band = |index: usize| Band {
            speed: BAND_RATIO.powf(middle - index as f64),
            ..Band::default()
        };
        SpeedBands {
            bands: (0..BAND_COUNT).map(band).collect(),
            bands_per_ln: 1.0 / BAND_RATIO.ln(),
            entries: Vec::new(),
        }
    }

    /// Iterates over the bands, starting with the fastest.
    pub fn iter(&self) -> std::slice::Iter<'_, Band> {
        self.bands.iter()
    }

    /// Returns the band of an endpoint with this cost, which is its latency relative to the mean.
    pub fn band_of(&self, cost: f64) -> usize {
        let middle = BAND_COUNT as f64 / 2.0;
        let position = cost.max(MIN_COST).ln() * self.bands_per_ln + middle + 0.5;
        position.clamp(0.0, BAND_COUNT as f64 - 1.0) as usize
    }

    /// Returns the band that is slower by `steps` bands, at most the slowest band.
    pub fn slower(&self, band: usize, steps: usize) -> usize {
        (band + steps).min(BAND_COUNT - 1)
    }

    /// Returns true if an endpoint is open.
    pub fn is_open(&self, endpoint: usize) -> bool {
        self.entries
            .get(endpoint)
            .is_some_and(|entry| entry.open_at.is_some())
    }

    /// Updates an endpoint: adds its slots to `slot_band`, and lists it as open in `open_band` if that is given.
    pub fn update(
        &mut self,
        endpoint: usize,
        slot_band: usize,
        slots: f64,
        open_band: Option<usize>,
    ) {
        self.entries.resize(
            self.entries.len().max(endpoint + 1),
            EndpointEntry::default(),
        );
        self.move_slots(endpoint, slot_band, slots);
        let current = self.entries[endpoint].open_at.map(|at| at.band);
        if current == open_band {
            return;
        }
        self.close(endpoint);
        if let Some(band) = open_band {
            self.open(endpoint, band);
        }
    }

    fn move_slots(&mut self, endpoint: usize, slot_band: usize, slots: f64) {
        let entry = &mut self.entries[endpoint];
        let previous = &mut self.bands[entry.slot_band].slots;
        *previous -= entry.slots;
        if *previous < SLOT_RESIDUE {
            *previous = 0.0;
        }
        self.bands[slot_band].slots += slots;
        entry.slot_band = slot_band;
        entry.slots = slots;
    }

    fn close(&mut self, endpoint: usize) {
        let Some(at) = self.entries[endpoint].open_at.take() else {
            return;
        };
        let open = &mut self.bands[at.band].open;
        open.swap_remove(at.position);
        if let Some(&moved) = open.get(at.position) {
            self.entries[moved as usize].open_at = Some(at);
        }
    }

    fn open(&mut self, endpoint: usize, band: usize) {
        let open = &mut self.bands[band].open;
        self.entries[endpoint].open_at = Some(OpenPosition {
            band,
            position: open.len(),
        });
        open.push(endpoint as u32);
    }
}
