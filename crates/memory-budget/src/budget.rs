//! The account of bytes in use.

use crate::Holder;

/// Memory of a process before it has any connection, in bytes.
const RESERVED_BYTES: u64 = 7 << 20;
/// Share of the rest that the budget hands out, in percent. What remains is lost to the allocator: rounding, and gaps
/// between blocks.
const USABLE_PERCENT: u64 = 90;
/// The least that a budget hands out, in bytes, however small the limit.
const MIN_CAPACITY_BYTES: u64 = 4 << 20;
/// From this share of the limit on, in percent, resident memory bounds what is drawn, so that it grows to the second share
/// at the most.
const GUARDED_PERCENT: u64 = 80;
const RESIDENT_PERCENT: u64 = 95;
/// By how much resident memory grows when as many bytes are drawn, in percent of these.
const GROWTH_PERCENT: u64 = 115;
/// The least that is handed out where resident memory is higher than the draws account for, as a share of the capacity
/// that follows from the limit, in percent. Without it a process whose allocator keeps much would serve nobody.
const MIN_USABLE_PERCENT: u64 = 60;
/// Share of the budget that idle connections to servers may hold, in percent.
const MAX_IDLE_PERCENT: u64 = 12;
/// Share of the budget in use, in percent, up to which there is plenty of memory.
const PLENTY_USED_PERCENT: u64 = 15;
/// Share of the budget in use, in percent, from which on memory is short; and where resident memory is above the second
/// share of the limit, from the third on.
const SHORT_USED_PERCENT: u64 = 60;
const SHORT_RESIDENT_PERCENT: u64 = 75;
const SHORT_USED_IF_RESIDENT_PERCENT: u64 = 40;

/// The bytes that a process holds for its clients and servers, by holder.
///
/// What a holder draws is an estimate of what it uses. Resident memory is the check of the sum: where it reaches a
/// new maximum, all that the process ever allocated is in use, and what it may still grow bounds further draws
/// ([`MemoryBudget::observe_resident`]).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    memory_limit: u64,
    capacity: u64,
    held: [u64; Holder::ALL.len()],
    /// Draws that were denied, by holder.
    denied: [u64; Holder::ALL.len()],
    /// The most resident memory that was observed, in bytes.
    max_resident: u64,
}

impl MemoryBudget {
    /// Creates the budget of a process that may use `memory_limit` bytes of resident memory.
    pub fn new(memory_limit: u64) -> MemoryBudget {
        MemoryBudget {
            memory_limit,
            capacity: capacity_of(memory_limit),
            held: [0; Holder::ALL.len()],
            denied: [0; Holder::ALL.len()],
            max_resident: 0,
        }
    }

    /// Changes the limit. What is held stays held.
    pub fn set_limit(&mut self, memory_limit: u64) {
        self.memory_limit = memory_limit;
        self.capacity = capacity_of(memory_limit);
    }

    /// The limit on resident memory, in bytes.
    pub fn memory_limit(&self) -> u64 {
        self.memory_limit
    }

    /// Records the resident memory of the process. Restricts further draws if it is a new maximum that leaves less room
    /// than the capacity does.
    pub fn observe_resident(&mut self, resident: u64) {
        if resident <= self.max_resident {
            return;
        }
        self.max_resident = resident;
        if resident < self.memory_limit / 100 * GUARDED_PERCENT {
            return;
        }
        let room = (self.memory_limit / 100 * RESIDENT_PERCENT).saturating_sub(resident);
        let capacity = self.used() + room / GROWTH_PERCENT * 100;
        let nominal = capacity_of(self.memory_limit);
        let least = nominal / 100 * MIN_USABLE_PERCENT;
        self.capacity = capacity.clamp(least, nominal).min(self.capacity);
    }

    /// Whether so little memory is in use that nothing need be done to spare it.
    pub fn is_plentiful(&self) -> bool {
        self.used() <= self.capacity / 100 * PLENTY_USED_PERCENT
    }

    /// Whether so much memory is in use that what the process keeps to be faster should be let go.
    pub fn is_short(&self) -> bool {
        let much_resident = self.max_resident > self.memory_limit / 100 * SHORT_RESIDENT_PERCENT;
        // What was resident at the maximum stays so, also where little of it is in use.
        let short_from = if much_resident {
            SHORT_USED_IF_RESIDENT_PERCENT
        } else {
            SHORT_USED_PERCENT
        };
        self.used() > self.capacity / 100 * short_from
    }

    /// Number of bytes that idle connections to servers may hold.
    pub fn max_idle_bytes(&self) -> u64 {
        if self.is_short() {
            return 0;
        }
        self.capacity / 100 * MAX_IDLE_PERCENT
    }

    /// Number of bytes that can be held altogether.
    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Number of bytes in use.
    pub fn used(&self) -> u64 {
        self.held.iter().sum()
    }

    /// Number of bytes that a holder has drawn.
    pub fn held(&self, holder: Holder) -> u64 {
        self.held[holder as usize]
    }

    /// How often a holder was denied bytes.
    pub fn denied(&self, holder: Holder) -> u64 {
        self.denied[holder as usize]
    }

    /// Whether a holder may draw this many bytes.
    pub fn has_room(&self, holder: Holder, bytes: u64) -> bool {
        let mark = self.capacity / 100 * holder.mark_percent();
        self.used().saturating_add(bytes) <= mark
    }

    /// Draws bytes if that leaves the budget below the holder's mark.
    pub fn try_draw(&mut self, holder: Holder, bytes: u64) -> bool {
        let has_room = self.has_room(holder, bytes);
        if has_room {
            self.draw(holder, bytes);
        } else {
            self.denied[holder as usize] += 1;
        }
        has_room
    }

    /// Draws bytes in any case, for what an accepted request needs.
    pub fn draw(&mut self, holder: Holder, bytes: u64) {
        self.held[holder as usize] += bytes;
    }

    /// Releases bytes that were drawn before.
    pub fn release(&mut self, holder: Holder, bytes: u64) {
        let held = &mut self.held[holder as usize];
        *held = held.saturating_sub(bytes);
    }

    /// The holder with the most bytes.
    pub fn largest_holder(&self) -> Holder {
        let largest = Holder::ALL
            .into_iter()
            .max_by_key(|holder| self.held(*holder));
        largest.unwrap_or(Holder::ClientConnection)
    }
}

/// Number of bytes that a process with this limit hands out.
fn capacity_of(memory_limit: u64) -> u64 {
    let usable = memory_limit.saturating_sub(RESERVED_BYTES) / 100 * USABLE_PERCENT;
    usable.max(MIN_CAPACITY_BYTES)
}
