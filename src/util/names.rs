//! Enumerations whose variants have a name, used in files and on the wire, and a description for
//! operators.

/// An enumeration whose variants have names and descriptions; the macro `names!` implements it.
pub trait Names: Copy + Eq + std::hash::Hash + std::fmt::Debug + 'static {
    /// Every variant, in the order of declaration.
    const ALL: &'static [Self];

    /// Returns the variant's name.
    fn name(self) -> &'static str;

    /// Returns the variant's description, one sentence.
    fn meaning(self) -> &'static str;

    /// Returns the variant with a name.
    ///
    /// # Example
    ///
    /// ```
    /// use bramleypier::{timeline::Duty, util::names::Names};
    ///
    /// assert_eq!(Duty::find("grantor"), Some(Duty::Grantor));
    /// ```
    fn find(name: &str) -> Option<Self> {
        Self::ALL
            .iter()
            .copied()
            .find(|variant| variant.name() == name)
    }
}

/// Returns the names and descriptions as a Markdown table, for the operators' manual.
///
/// # Example
///
/// ```
/// use bramleypier::{timeline::Duty, util::names};
///
/// assert!(names::markdown::<Duty>("duty").contains("| `entry` | Taking callers' requests. |"));
/// ```
pub fn markdown<N>(head: &str) -> String
where
    N: Names,
{
    let row = |name: &N| format!("| `{}` | {} |\n", name.name(), name.meaning());
    let rows: String = N::ALL.iter().map(row).collect();
    format!("| {head} | meaning |\n|---|---|\n{rows}")
}

/// Declares an enumeration that implements [`Names`]; a variant's doc comment is its description.
macro_rules! names {
    (
        $(#[$outer:meta])*
        pub enum $enum:ident {
            $($(#[doc = $meaning:literal])+ $variant:ident = $name:literal,)+
        }
    ) => {
        $(#[$outer])*
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord,
            serde::Serialize, serde::Deserialize,
        )]
        pub enum $enum {
            $($(#[doc = $meaning])+ #[serde(rename = $name)] $variant,)+
        }

        impl $crate::util::names::Names for $enum {
            const ALL: &'static [Self] = &[$(Self::$variant),+];

            fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)+
                }
            }

            fn meaning(self) -> &'static str {
                match self {
                    $(Self::$variant => concat!($($meaning),+).trim_ascii(),)+
                }
            }
        }

        impl std::fmt::Display for $enum {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str($crate::util::names::Names::name(*self))
            }
        }
    };
}

pub(crate) use names;
