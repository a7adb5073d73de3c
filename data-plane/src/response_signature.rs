//! Response signatures, by which origins prove their identity.
#[cfg(test)]
mod tests;

use crate::prelude::*;

/// The content that an origin signs, following RFC 9421: the status and digest of its
/// response, its identity and the request that it responds to. The verifier supplies the
/// request's fields, so that a response to any other request fails verification.
#[derive(Debug, Clone, PartialEq)]
pub struct ResponseSignature<'a> {
    /// The status of the response.
    pub status: u16,
    /// The method of the request.
    pub method: &'a str,
    /// The target of the request.
    pub target: &'a str,
    /// The service that the origin provides.
    pub service: &'a str,
    /// The instance of the origin.
    pub instance: &'a str,
    /// The operation key of the request; empty if it has none.
    pub operation_key: &'a str,
    /// The id of the request.
    pub request_id: &'a str,
    /// The body of the response.
    pub body: &'a [u8],
}

/// The reason why a signature was not accepted.
#[derive(Debug, thiserror::Error)]
pub enum SignatureError {
    /// A header of the signature is missing.
    #[error("header {0} is missing")]
    MissingHeader(&'static str),
    /// The response names another service or instance.
    #[error("response names another service or instance")]
    WrongOrigin,
    /// The digest is not that of the body.
    #[error("body does not match its digest")]
    DigestMismatch,
    /// The signature uses other components, another algorithm or another key id.
    #[error("signature covers other components, or has another algorithm or key id")]
    WrongComponents,
    /// The header does not contain a signature.
    #[error("no signature in the signature header")]
    MalformedSignature,
    /// The signature or the key is not valid base64.
    #[error("{0}")]
    InvalidBase64(String),
    /// The key does not have the length of an Ed25519 key.
    #[error("key does not have the length of an Ed25519 key")]
    InvalidKeyLength,
    /// The signature or the key is not valid for Ed25519.
    #[error(transparent)]
    Malformed(#[from] ed25519_dalek::SignatureError),
    /// The signature does not verify with this key and these fields.
    #[error("signature does not verify: {0}")]
    Invalid(ed25519_dalek::SignatureError),
}

/// The signed components, in order.
const COMPONENTS: &str = "(\"@status\" \"content-digest\" \"otterslip-service\" \"otterslip-instance\" \
    \"@method\";req \"@request-target\";req \"operation-key\";req \"otterslip-errand\";req)";

impl ResponseSignature<'_> {
    fn digest(&self) -> String {
        format!("sha-256=:{}:", BASE64.encode(Sha256::digest(self.body)))
    }

    fn params(&self) -> String {
        format!("{COMPONENTS};alg=\"ed25519\";keyid=\"{}\"", self.service)
    }

    /// Returns the signature base of RFC 9421.
    fn base(&self) -> String {
        format!(
            "\"@status\": {}\n\"content-digest\": {}\n\"otterslip-service\": {}\n\"otterslip-instance\": {}\n\
             \"@method\";req: {}\n\"@request-target\";req: {}\n\"operation-key\";req: {}\n\"otterslip-errand\";req: {}\n\
             \"@signature-params\": {}",
            self.status,
            self.digest(),
            self.service,
            self.instance,
            self.method,
            self.target,
            self.operation_key,
            self.request_id,
            self.params()
        )
    }

    /// Signs the content. Returns the headers that an origin adds to its response.
    pub fn sign(&self, key: &SigningKey) -> Vec<(String, String)> {
        let signature = BASE64.encode(key.sign(self.base().as_bytes()).to_bytes());
        [
            ("Content-Digest", self.digest()),
            ("Otterslip-Service", self.service.to_string()),
            ("Otterslip-Instance", self.instance.to_string()),
            ("Signature-Input", format!("sig={}", self.params())),
            ("Signature", format!("sig=:{signature}:")),
        ]
        .map(|(name, value)| (name.to_string(), value))
        .into()
    }

    /// Verifies a response's headers with the service's public key in base64.
    ///
    /// # Errors
    /// Returns the first check that failed.
    pub fn verify(&self, headers: &[(String, String)], key: &str) -> Result<(), SignatureError> {
        let get =
            |name: &'static str| header(headers, name).ok_or(SignatureError::MissingHeader(name));
        if get("otterslip-service")? != self.service || get("otterslip-instance")? != self.instance
        {
            return Err(SignatureError::WrongOrigin);
        }
        if get("content-digest")? != self.digest() {
            return Err(SignatureError::DigestMismatch);
        }
        if get("signature-input")?.strip_prefix("sig=") != Some(self.params().as_str()) {
            return Err(SignatureError::WrongComponents);
        }
        let text = get("signature")?
            .strip_prefix("sig=:")
            .and_then(|rest| rest.strip_suffix(':'))
            .ok_or(SignatureError::MalformedSignature)?;
        let signature = Signature::from_slice(&decode(text)?)?;
        public_key(key)?
            .verify_strict(self.base().as_bytes(), &signature)
            .map_err(SignatureError::Invalid)
    }
}

fn public_key(key: &str) -> Result<VerifyingKey, SignatureError> {
    let bytes: [u8; 32] = decode(key)?
        .try_into()
        .map_err(|_| SignatureError::InvalidKeyLength)?;
    Ok(VerifyingKey::from_bytes(&bytes)?)
}

fn decode(text: &str) -> Result<Vec<u8>, SignatureError> {
    BASE64
        .decode(text)
        .map_err(|error| SignatureError::InvalidBase64(error.to_string()))
}
