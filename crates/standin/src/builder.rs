//! A macro for the builders of the stand-ins' options.
//!
//! Options have one source of defaults, their command line: an empty command
//! line gives the default value, and any options can be written as one.

/// a value on a command line
pub(crate) trait Argument {
    /// adds the option `name` with this value
    fn push(&self, name: String, arguments: &mut Vec<String>);
}

/// a switch, which has no value
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
                    .expect("every option has a default")
            }
        }

        impl $options {
            /// starts from the defaults
            pub fn builder() -> Builder {
                Builder { options: Self::default() }
            }
        }

        impl $options {
            /// the command line that gives these options
            pub fn arguments(&self) -> Vec<String> {
                let mut arguments = Vec::new();
                $(
                    let name = concat!("--", stringify!($field)).replace('_', "-");
                    crate::builder::Argument::push(&self.$field, name, &mut arguments);
                )+
                arguments
            }
        }

        /// sets options one by one
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

            /// hands the options over
            pub fn build(self) -> $options {
                self.options
            }
        }
    };
}

pub(crate) use builder;
