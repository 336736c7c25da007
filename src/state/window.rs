//! A window of numbered items, of which only the latest are kept.

use std::collections::VecDeque;

/// Items with consecutive numbers from 0. The oldest are dropped.
#[derive(Clone, Debug)]
pub struct NumberedWindow<T> {
    first: usize,
    items: VecDeque<T>,
}

impl<T> NumberedWindow<T> {
    pub fn new() -> Self {
        NumberedWindow { first: 0, items: VecDeque::new() }
    }

    /// Returns the number of the first item that is kept, or of the next one if there is none.
    pub fn first(&self) -> usize {
        self.first
    }

    /// Returns the number of the item that is pushed next.
    pub fn next(&self) -> usize {
        self.first + self.items.len()
    }

    pub fn push(&mut self, item: T) {
        self.items.push_back(item);
    }

    pub fn front(&self) -> Option<&T> {
        self.items.front()
    }

    pub fn drop_front(&mut self) {
        self.items.pop_front();
        self.first += 1;
    }

    /// Returns `None` if the item was dropped.
    pub fn get_mut(&mut self, number: usize) -> Option<&mut T> {
        number.checked_sub(self.first).and_then(|position| self.items.get_mut(position))
    }

    /// Returns the items with their numbers, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &T)> {
        self.items.iter().enumerate().map(|(position, item)| (self.first + position, item))
    }
}

impl<T> std::ops::Index<usize> for NumberedWindow<T> {
    type Output = T;

    fn index(&self, number: usize) -> &T {
        &self.items[number - self.first]
    }
}

impl<T> std::ops::IndexMut<usize> for NumberedWindow<T> {
    fn index_mut(&mut self, number: usize) -> &mut T {
        &mut self.items[number - self.first]
    }
}
