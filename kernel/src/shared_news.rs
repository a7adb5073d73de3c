//! News as it is told to many edges at once.
use crate::prelude::*;
use serde::{Deserializer, Serializer};
use std::sync::OnceLock;

/// News that lack the same: held once and encoded once, however many edges it
/// is told to. On the wire it is a list of [`News`].
#[derive(Debug, Clone, Default)]
pub struct SharedNews(Option<Arc<NewsBody>>);

#[derive(Debug)]
struct NewsBody {
    news: Vec<News>,
    encoded: OnceLock<Arc<[u8]>>,
}

impl SharedNews {
    /// As it goes on the wire.
    pub fn encoded(&self) -> Arc<[u8]> {
        let encode = |news: &[News]| -> Arc<[u8]> {
            let bytes = bincode::serialize(news).expect("news serialize");
            bytes.into()
        };
        match &self.0 {
            Some(body) => body.encoded.get_or_init(|| encode(&body.news)).clone(),
            None => encode(&[]),
        }
    }

    /// The news itself, copied only if others hold it too.
    pub fn into_news(self) -> Vec<News> {
        match self.0.map(Arc::try_unwrap) {
            Some(Ok(body)) => body.news,
            Some(Err(body)) => body.news.clone(),
            None => Vec::new(),
        }
    }
}

impl std::ops::Deref for SharedNews {
    type Target = [News];

    fn deref(&self) -> &[News] {
        self.0.as_ref().map_or(&[], |body| &body.news)
    }
}

impl From<Vec<News>> for SharedNews {
    fn from(news: Vec<News>) -> SharedNews {
        let encoded = OnceLock::new();
        SharedNews((!news.is_empty()).then(|| Arc::new(NewsBody { news, encoded })))
    }
}

impl PartialEq for SharedNews {
    fn eq(&self, other: &SharedNews) -> bool {
        **self == **other
    }
}

impl Serialize for SharedNews {
    fn serialize<S: Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
        (**self).serialize(out)
    }
}

impl<'de> Deserialize<'de> for SharedNews {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<SharedNews, D::Error> {
        Ok(Vec::<News>::deserialize(from)?.into())
    }
}
