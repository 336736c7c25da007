//! Generators for values of any message or record type, with each of their variants and fields.
//!
//! [`generate_struct!`] and [`generate_enum!`] name all fields and variants without `..`: a new one fails the
//! build until it is added to its line.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::rc::Rc;

use orchidvalve_protocol::identity::NodeAddress;
use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, any};
use proptest::strategy::{BoxedStrategy, Union};

/// Lists and strings are shorter than this.
const LENGTH_LIMIT: usize = 5;

/// A type whose values can be generated.
pub trait Generate: Sized + std::fmt::Debug + 'static {
    /// Returns one strategy for each variant.
    fn variants() -> Vec<BoxedStrategy<Self>>;

    fn generate() -> BoxedStrategy<Self> {
        Union::new(Self::variants()).boxed()
    }
}

/// Nested strategies, one per identifier, of the types that the context requires.
#[macro_export]
macro_rules! nested_strategies {
    () => { proptest::strategy::Just(()) };
    ($first:ident $($rest:ident)*) => {
        (
            $crate::generate::Generate::generate(),
            $crate::nested_strategies!($($rest)*),
        )
    };
}

/// The pattern that destructures values of [`nested_strategies!`].
#[macro_export]
macro_rules! nested_pattern {
    () => { () };
    ($first:ident $($rest:ident)*) => { ($first, $crate::nested_pattern!($($rest)*)) };
}

/// `generate_struct!(Type { field, ... })` with all fields.
#[macro_export]
macro_rules! generate_struct {
    ($type:ty { $($field:ident),* $(,)? }) => {
        impl $crate::generate::Generate for $type {
            fn variants() -> Vec<proptest::strategy::BoxedStrategy<Self>> {
                use proptest::strategy::Strategy;
                let fields = $crate::nested_strategies!($($field)*);
                vec![fields.prop_map(|$crate::nested_pattern!($($field)*)| Self { $($field),* }).boxed()]
            }
        }
    };
}

/// `generate_enum!(Type { Plain, Tuple(value), Named { field, ... }, ... })` with all variants.
#[macro_export]
macro_rules! generate_enum {
    ($type:ty {
        $($variant:ident $({ $($field:ident),* $(,)? })? $(( $($item:ident),* ))?),* $(,)?
    }) => {
        impl $crate::generate::Generate for $type {
            fn variants() -> Vec<proptest::strategy::BoxedStrategy<Self>> {
                use proptest::strategy::Strategy;
                // Fails the build while a variant or a field is missing.
                let _: fn(&Self) = |value| match value {
                    $(Self::$variant $({ $($field: _),* })? $(( $($crate::ignored!($item)),* ))? => {})*
                };
                vec![$(
                    $crate::nested_strategies!($($($field)*)? $($($item)*)?)
                        .prop_map(|$crate::nested_pattern!($($($field)*)? $($($item)*)?)| {
                            Self::$variant $({ $($field),* })? $(( $($item),* ))?
                        })
                        .boxed()
                ),*]
            }
        }
    };
}

/// A wildcard pattern.
#[macro_export]
macro_rules! ignored {
    ($item:ident) => {
        _
    };
}

/// Any number, and often one at a boundary of its encoded length.
macro_rules! generate_number {
    ($($type:ty),*) => {$(
        impl Generate for $type {
            fn variants() -> Vec<BoxedStrategy<Self>> {
                let edge = (0..<$type>::BITS).prop_map(|bits| (<$type>::MAX >> bits).wrapping_add(1));
                vec![any::<$type>().boxed(), edge.boxed(), Just(0).boxed(), Just(<$type>::MAX).boxed()]
            }
        }
    )*};
}

generate_number!(u8, u16, u32, u64, usize);

impl Generate for bool {
    fn variants() -> Vec<BoxedStrategy<Self>> {
        vec![Just(false).boxed(), Just(true).boxed()]
    }
}

impl Generate for f32 {
    fn variants() -> Vec<BoxedStrategy<Self>> {
        vec![(-1e30_f32..1e30).boxed(), Just(0.0).boxed(), Just(f32::INFINITY).boxed()]
    }
}

impl Generate for String {
    fn variants() -> Vec<BoxedStrategy<Self>> {
        let characters = vec(any::<char>(), 0..LENGTH_LIMIT);
        vec![characters.prop_map(|characters| characters.into_iter().collect()).boxed()]
    }
}

impl<T: Generate> Generate for Vec<T> {
    fn variants() -> Vec<BoxedStrategy<Self>> {
        vec![vec(T::generate(), 0..LENGTH_LIMIT).boxed()]
    }
}

impl<T: Generate + Clone> Generate for Option<T> {
    fn variants() -> Vec<BoxedStrategy<Self>> {
        vec![Just(None).boxed(), T::generate().prop_map(Some).boxed()]
    }
}

impl<A: Generate, B: Generate> Generate for (A, B) {
    fn variants() -> Vec<BoxedStrategy<Self>> {
        vec![(A::generate(), B::generate()).boxed()]
    }
}

impl<K: Generate + Ord, V: Generate> Generate for BTreeMap<K, V> {
    fn variants() -> Vec<BoxedStrategy<Self>> {
        let entries = Vec::<(K, V)>::generate();
        vec![entries.prop_map(|entries| entries.into_iter().collect()).boxed()]
    }
}

impl Generate for Rc<[u8]> {
    fn variants() -> Vec<BoxedStrategy<Self>> {
        vec![Vec::<u8>::generate().prop_map(Rc::from).boxed()]
    }
}

impl Generate for NodeAddress {
    fn variants() -> Vec<BoxedStrategy<Self>> {
        let parts = (u32::generate(), u16::generate());
        vec![parts.prop_map(|(ip, port)| NodeAddress::new(Ipv4Addr::from(ip), port)).boxed()]
    }
}
