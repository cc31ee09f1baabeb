//! A macro for the builders of the stand-ins' options.
//!
//! Options have one source of defaults, their command line: an empty command
//! line gives the default value.

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
