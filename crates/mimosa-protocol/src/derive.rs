//! Macros for data types with the common derives and for numeric newtypes.

/// Adds the derives that plain data types of this project share: `Clone`, `Debug`, `PartialEq`,
/// `Eq`, `Serialize` and `Deserialize`.
#[macro_export]
macro_rules! data {
    ($($item:item)+) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize)]
            $item
        )+
    };
}

/// Declares numeric newtypes with arithmetic, `Display` and `FromStr`.
#[macro_export]
macro_rules! quantity {
    ($($(#[$meta:meta])* $name:ident($inner:ty);)+) => {
        $(
            $(#[$meta])*
            #[derive(
                Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
                ::serde::Serialize, ::serde::Deserialize,
            )]
            #[serde(transparent)]
            pub struct $name(pub $inner);

            impl $name {
                /// The number 0, which is also the default.
                pub const ZERO: Self = Self(0);

                /// Returns the number, in the unit of this type.
                pub const fn get(self) -> $inner {
                    self.0
                }

                /// Adds one. The largest value of the inner type has no successor and overflows.
                #[must_use]
                pub const fn next(self) -> Self {
                    Self(self.0 + 1)
                }

                /// Subtracts; the result is at least zero.
                #[must_use]
                pub const fn saturating_sub(self, other: Self) -> Self {
                    Self(self.0.saturating_sub(other.0))
                }

                /// Adds; the result is at most the largest value of the inner type.
                #[must_use]
                pub const fn saturating_add(self, other: Self) -> Self {
                    Self(self.0.saturating_add(other.0))
                }
            }

            impl ::std::ops::Add for $name {
                type Output = Self;

                fn add(self, other: Self) -> Self {
                    Self(self.0 + other.0)
                }
            }

            impl ::std::ops::AddAssign for $name {
                fn add_assign(&mut self, other: Self) {
                    self.0 += other.0;
                }
            }

            impl ::std::iter::Sum for $name {
                fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
                    iter.fold(Self(0), |total, value| total + value)
                }
            }

            impl ::std::fmt::Display for $name {
                fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                    ::std::fmt::Display::fmt(&self.0, f)
                }
            }

            impl ::std::str::FromStr for $name {
                type Err = ::std::num::ParseIntError;

                fn from_str(text: &str) -> ::std::result::Result<Self, Self::Err> {
                    text.parse().map(Self)
                }
            }
        )+
    };
}
