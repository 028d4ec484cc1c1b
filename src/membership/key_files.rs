//! Keys and certificates of a host, and their making for a trial.

use std::{fs, path::Path, sync::Arc};

use eyre::{Result, WrapErr};
use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, DistinguishedName, DnType,
    ExtendedKeyUsagePurpose, IsCa, KeyPair, KeyUsagePurpose,
};
use rustls::{
    RootCertStore,
    pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
};

use crate::hex_text;

/// Name that the certificate of every host carries; who holds one is a host of ours.
pub(crate) const PEER_SERVER_NAME: &str = "ragwortknot";

/// Contents of the PEM files that a host's settings name.
#[derive(Clone, Debug, derive_more::Display)]
#[display("key files")]
pub(crate) struct KeyFiles {
    pub(crate) certificate: Arc<str>,
    pub(crate) private_key: Arc<str>,
    pub(crate) authority: Arc<str>,
}

impl KeyFiles {
    pub(crate) fn chain(&self) -> Result<Vec<CertificateDer<'static>>> {
        CertificateDer::pem_slice_iter(self.certificate.as_bytes())
            .collect::<Result<_, _>>()
            .wrap_err("the host's certificate is not a PEM file")
    }

    pub(crate) fn private_key(&self) -> Result<PrivateKeyDer<'static>> {
        PrivateKeyDer::from_pem_slice(self.private_key.as_bytes())
            .wrap_err("the host's private key is not a PEM file")
    }

    pub(crate) fn roots(&self) -> Result<RootCertStore> {
        let mut roots = RootCertStore::empty();

        for certificate in CertificateDer::pem_slice_iter(self.authority.as_bytes()) {
            let certificate = certificate.wrap_err("the authority is not a PEM file")?;
            roots.add(certificate).wrap_err("the authority is not a certificate")?;
        }

        Ok(roots)
    }
}

/// A certificate authority for trials.
pub(crate) struct CertificateAuthority {
    issuer: CertifiedIssuer<'static, KeyPair>,
}

impl CertificateAuthority {
    pub(crate) fn generate() -> Result<Self> {
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
        params.distinguished_name = common_name("ragwortknot trial authority");
        let issuer = CertifiedIssuer::self_signed(params, KeyPair::generate()?)?;
        Ok(Self { issuer })
    }

    /// Makes a key and a certificate for one host.
    pub(crate) fn issue(&self, host: &str) -> Result<KeyFiles> {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(vec![PEER_SERVER_NAME.to_owned()])?;
        params.distinguished_name = common_name(host);
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ClientAuth, ExtendedKeyUsagePurpose::ServerAuth];
        let certificate = params.signed_by(&key, &self.issuer)?;

        Ok(KeyFiles {
            certificate: certificate.pem().into(),
            private_key: key.serialize_pem().into(),
            authority: self.issuer.pem().into(),
        })
    }
}

fn common_name(name: &str) -> DistinguishedName {
    let mut distinguished_name = DistinguishedName::new();
    distinguished_name.push(DnType::CommonName, name);
    distinguished_name
}

/// A random key, in hexadecimal digits.
pub(crate) fn random_key() -> String {
    hex_text(&rand::random::<[u8; 24]>())
}

/// Writes an authority, a receipt key and the keys of some hosts into a folder.
pub(crate) fn write_key_folder(folder: &Path, hosts: &[String]) -> Result<()> {
    fs::create_dir_all(folder).wrap_err_with(|| format!("can't make {}", folder.display()))?;
    let authority = CertificateAuthority::generate()?;

    for host in hosts {
        let files = authority.issue(host)?;
        write_secret(&folder.join(format!("{host}.key.pem")), &files.private_key)?;
        fs::write(folder.join(format!("{host}.cert.pem")), &*files.certificate)?;
        fs::write(folder.join("authority.cert.pem"), &*files.authority)?;
    }

    write_secret(&folder.join("receipt.key"), &random_key())
}

fn write_secret(path: &Path, text: &str) -> Result<()> {
    use std::{io::Write, os::unix::fs::OpenOptionsExt};

    let mut file = fs::OpenOptions::new()
        .create(true)
        .truncate(true)
        .write(true)
        .mode(0o600)
        .open(path)
        .wrap_err_with(|| format!("can't write {}", path.display()))?;

    file.write_all(text.as_bytes())?;
    Ok(())
}
