//! Checks requests and responses against the schema of the HTTP interfaces.
use crate::prelude::*;

/// Checks requests and responses against the schema file.
pub struct SchemaCheck {
    schema: serde_json::Value,
}

impl SchemaCheck {
    /// Creates a check against the schema of this build.
    pub fn new() -> Result<SchemaCheck> {
        Ok(SchemaCheck {
            schema: serde_json::from_str(SCHEMA)?,
        })
    }

    fn operation(&self, method: &str, path: &str) -> Result<&serde_json::Value> {
        let paths = &self.schema["paths"];
        let path_item = paths.get(path).unwrap_or(&paths["/{path}"]);
        path_item
            .get(method.to_ascii_lowercase())
            .with_context(|| format!("{method} {path} is not in the schema"))
    }

    fn check(&self, description: &serde_json::Value, body: &serde_json::Value) -> Result<()> {
        let schema = description["content"]["application/json"]["schema"].clone();
        if schema.is_null() {
            return Ok(());
        }
        let mut resolved = schema;
        resolved["components"] = self.schema["components"].clone();
        let validator = jsonschema::validator_for(&resolved).map_err(|error| anyhow!("{error}"))?;
        let errors: Vec<String> = validator
            .iter_errors(body)
            .map(|error| format!("{} {error}", error.instance_path()))
            .collect();
        if errors.is_empty() {
            Ok(())
        } else {
            bail!("{}", errors.join("; "))
        }
    }

    /// Checks a request body.
    pub fn request(&self, method: &str, path: &str, body: &serde_json::Value) -> Result<()> {
        self.check(&self.operation(method, path)?["requestBody"], body)
    }

    /// Checks that the schema describes the status of a response and that the
    /// body matches.
    pub fn response(
        &self,
        method: &str,
        path: &str,
        status: u16,
        body: &serde_json::Value,
    ) -> Result<()> {
        let responses = &self.operation(method, path)?["responses"];
        let class = format!("{}XX", status / 100);
        let description = [status.to_string().as_str(), class.as_str(), "default"]
            .iter()
            .find_map(|name| responses.get(name));
        self.check(
            description.with_context(|| {
                format!("{method} {path}: status {status} is not in the schema")
            })?,
            body,
        )
    }
}
