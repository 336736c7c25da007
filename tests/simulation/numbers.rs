//! Random numbers of the simulation.

use orchidvalve::interface::Nanos;

/// SplitMix64 (Steele, Lea and Flood 2014), so that the numbers do not depend on any other package.
#[derive(Clone)]
pub struct Numbers(pub u64);

impl Numbers {
    pub fn draw(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    pub fn below(&mut self, end: usize) -> usize {
        (self.draw() % end.max(1) as u64) as usize
    }

    pub fn between(&mut self, min: Nanos, max: Nanos) -> Nanos {
        min + (self.draw() % (max - min + 1) as u64) as Nanos
    }

    pub fn fraction(&mut self) -> f64 {
        (self.draw() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn happens(&mut self, probability: f64) -> bool {
        self.fraction() < probability
    }
}
