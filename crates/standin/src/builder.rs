//! A macro for the builders of the stand-ins' options.
//!
//! The defaults are defined once, by the command-line parser: parsing an empty command
//! line gives the default options. Options can also be turned back into arguments.

/// an option value that can be written as a command-line argument
pub(crate) trait Argument {
    /// appends the option `name` with this value
    fn push(&self, name: String, arguments: &mut Vec<String>);
}

/// a flag: the name alone if set, nothing otherwise
impl Argument for bool {
    fn push(&self, name: String, arguments: &mut Vec<String>) {
        if *self {
            arguments.push(name);
        }
    }
}

macro_rules! argument {
    ($($type:ty),+) => {
        $(
            impl Argument for $type {
                fn push(&self, name: String, arguments: &mut Vec<String>) {
                    arguments.push(format!("{name}={self}"));
                }
            }
        )+
    };
}

argument!(String, u32, u64, usize, schema::config::Fencing);

/// implements `Default` and a builder for options that derive `bpaf::Bpaf`
macro_rules! builder {
    ($options:ident by $parser:ident { $($field:ident: $type:ty),+ $(,)? }) => {
        impl Default for $options {
            fn default() -> Self {
                bpaf::Parser::to_options($parser())
                    .run_inner(bpaf::Args::from(&[] as &[&str]))
                    .expect("an empty command line should parse: every option has a default")
            }
        }

        impl $options {
            /// builder that starts from the defaults
            pub fn builder() -> Builder {
                Builder { options: Self::default() }
            }
        }

        impl $options {
            /// command-line arguments that give these options
            pub fn arguments(&self) -> Vec<String> {
                let mut arguments = Vec::new();
                $(
                    let name = concat!("--", stringify!($field)).replace('_', "-");
                    crate::builder::Argument::push(&self.$field, name, &mut arguments);
                )+
                arguments
            }
        }

        /// sets single options on top of the defaults
        #[derive(Clone, Debug)]
        pub struct Builder {
            options: $options,
        }

        impl Builder {
            $(
                #[doc = concat!("sets `", stringify!($field), "`")]
                pub fn $field(mut self, value: $type) -> Self {
                    self.options.$field = value;
                    self
                }
            )+

            /// returns the finished options
            pub fn build(self) -> $options {
                self.options
            }
        }
    };
}

pub(crate) use builder;
